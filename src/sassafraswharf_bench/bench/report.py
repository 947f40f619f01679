"""Markdown table of the measurements, and its section of the page."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Sequence


COLUMNS = ("measure", "value", "bound", "source", "verdict", "note")
BEGIN_MARKER = "<!-- measured: begin -->"
END_MARKER = "<!-- measured: end -->"


def render_table(rows: Sequence[dict[str, Any]]) -> str:
    """Return the rows as a Markdown table with aligned columns."""
    cells = [list(COLUMNS)]
    for row in rows:
        value = f"{row['value']:g} {row['unit']}".strip()
        cells.append([value if c == "value" else str(row[c]) for c in COLUMNS])
    widths = [max(len(line[i]) for line in cells) for i in range(len(COLUMNS))]
    cells.insert(1, ["-" * width for width in widths])
    return "\n".join(
        "| "
        + " | ".join(cell.ljust(w) for cell, w in zip(line, widths, strict=True))
        + " |"
        for line in cells
    )


def render_section(result: dict[str, Any]) -> str:
    """Return the section of the page for one run."""
    load = " and ".join(f"{value:.1f}" for value in result["load"])
    return (
        f"Measured on {result['date']} with `{result['command']}` in "
        f"{result['seconds']:.0f} s on {result['processors']} processors; load "
        f"average before and after: {load}.\n\n{render_table(result['rows'])}"
    )


def replace_section(page: str, content: str) -> str:
    """Return the page with the text between its markers replaced."""
    head, _, rest = page.partition(BEGIN_MARKER)
    _, mark, tail = rest.partition(END_MARKER)
    if not mark:
        raise ValueError("the page has no marks for the measured values")
    return f"{head}{BEGIN_MARKER}\n{content}\n{END_MARKER}{tail}"
