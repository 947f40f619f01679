from __future__ import annotations

import doctest
import importlib

from pathlib import Path

import pytest


SOURCE = Path(__file__).parent.parent / "src"
MODULES = sorted(
    ".".join(path.relative_to(SOURCE).with_suffix("").parts)
    for path in SOURCE.rglob("*.py")
    if ">>> " in path.read_text()
)


@pytest.mark.parametrize("name", MODULES)
def test_examples_in_docstrings(name: str) -> None:
    """Guards against examples that no longer show what the code does."""
    assert doctest.testmod(importlib.import_module(name)).failed == 0
