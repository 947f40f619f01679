"""The operators' pages list what the code has."""

from __future__ import annotations

import re

from pathlib import Path
from typing import Any
from typing import NotRequired
from typing import get_origin
from typing import get_type_hints

import json5
import pytest

from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration import documents
from sassafraswharf.console.application import COMMANDS
from sassafraswharf.settings import schema


DOCS = Path(__file__).parent.parent / "docs"
TABLE = re.compile(r"<!-- fields: (\w+) -->\n((?:\|.*\n)+)")
TABLES = dict(TABLE.findall((DOCS / "settings.md").read_text()))
TYPES: dict[str, Any] = {
    name: value
    for module in (schema, documents)
    for name, value in vars(module).items()
    if hasattr(value, "__required_keys__")
}
DEFAULTS = {**schema.SETTINGS_DEFAULTS, **documents.DOCUMENT_DEFAULTS}


def cells(table: str) -> list[list[str]]:
    return [
        [cell.strip(" `") for cell in line.strip("|").split("|")]
        for line in table.splitlines()[2:]
    ]


def test_every_type_has_a_table() -> None:
    """Guards against a group of fields that the reference omits."""
    assert TABLES.keys() == TYPES.keys()


@pytest.mark.parametrize("name", sorted(TYPES))
def test_the_reference_has_the_fields_and_their_defaults(name: str) -> None:
    """Guards against a reference that differs from what is checked."""
    rows = cells(TABLES[name])
    hints = get_type_hints(TYPES[name], include_extras=True)
    assert [row[0] for row in rows] == list(hints)
    defaults = DEFAULTS.get(TYPES[name], {})
    for field, _, default, _ in rows:
        if field == "placement":
            continue
        is_optional = get_origin(hints[field]) is NotRequired or field in defaults
        assert is_optional != (default == "required")
        if field in defaults:
            assert json5.loads(default) == defaults[field]


def test_the_code_page_lists_exactly_the_codes() -> None:
    """Guards against a code that operators can't look up."""
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \|", (DOCS / "codes.md").read_text(), re.MULTILINE
    )
    assert [(int(code), name) for code, name in rows] == [
        (code.value, code.name) for code in ResultCode
    ]


@pytest.mark.parametrize("page", sorted(path.name for path in DOCS.glob("*.md")))
def test_pages_name_only_commands_that_exist(page: str) -> None:
    """Guards against steps that an operator can't follow."""
    text = (DOCS / page).read_text()
    named = set(re.findall(r"`?sassafraswharf ([a-z][a-z-]+)\b", text))
    known = {command[0] for command in COMMANDS}
    if page != "design.md":
        assert named <= known
