"""Shared test configuration: derandomised property tests and KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import HealthCheck
from hypothesis import settings


if TYPE_CHECKING:
    import pytest


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")


def known_red_tests() -> set[str]:
    """Return the test ids listed in KNOWN-RED.txt, one ``test: <id>`` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests of KNOWN-RED.txt."""
    known_red = known_red_tests()
    red = [item for item in items if item.nodeid in known_red]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in known_red]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that were passed over."""
    for test in sorted(known_red_tests()):
        terminalreporter.write_line(f"KNOWN-RED passed over: {test}")
