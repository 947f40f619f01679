"""Prints answers as tables or JSON, and refusals with what to do next."""

from __future__ import annotations

import json
import sys

from typing import TYPE_CHECKING
from typing import Final

from rich.console import Console
from rich.table import Table
from rich.text import Text


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.console.refusal import Body
    from sassafraswharf.console.refusal import Refusal


NON_TERMINAL_COLUMNS: Final = 240
"""Width of tables that are written to a pipe or file, wide enough not to wrap."""


def print_json(body: Body) -> None:
    """Print an answer for scripts."""
    print(json.dumps(body, indent=2, ensure_ascii=False))


def print_line(text: str) -> None:
    """Print one result to standard output."""
    print(text)


def print_note(text: str) -> None:
    """Print a diagnostic message to standard error."""
    print(text, file=sys.stderr)


def print_refusal(refusal: Refusal, *, as_json: bool = False) -> None:
    """Print the code, the reason and the next step."""
    if as_json:
        print_json(
            {"code": refusal.code, "message": refusal.message} | {**refusal.body}
        )
    print_note(f"[{int(refusal.code)}] {refusal.message}")
    if refusal.advice:
        print_note(f"  next: {refusal.advice}")


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under the column titles, or say that there are none."""
    cells = [[Text(_format_cell(cell)) for cell in row] for row in rows]
    if not cells:
        print_note("none")
        return
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in cells:
        table.add_row(*row)
    console = Console()
    if not console.is_terminal:
        console.width = NON_TERMINAL_COLUMNS
    console.print(table)


def rows_of(items: object, fields: Sequence[str]) -> list[list[object]]:
    """Return the named fields of each object in a list, None where absent."""
    found: list[Mapping[str, object]] = json_objects(items)
    return [[item.get(field) for field in fields] for item in found]


def json_objects(items: object) -> list[Mapping[str, object]]:
    """Return the JSON objects of a list, and nothing for other values."""
    if not isinstance(items, list):
        return []
    return [item for item in items if isinstance(item, dict)]


def _format_cell(cell: object) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    if isinstance(cell, list):
        return ", ".join(str(item) for item in cell) or "-"
    # Values come from other processes; control characters could drive a terminal.
    return "".join(char if char.isprintable() else "?" for char in str(cell))
