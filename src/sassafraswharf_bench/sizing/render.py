"""Renders the capacity tables as Markdown."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.sizing.checks import CHECK_HEADER
from sassafraswharf_bench.sizing.checks import check_rows
from sassafraswharf_bench.sizing.roles import ROLE_HEADER
from sassafraswharf_bench.sizing.roles import role_rows
from sassafraswharf_bench.sizing.targets import Assumptions
from sassafraswharf_bench.sizing.targets import Targets


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


BEGIN_MARKER = "<!-- capacity: begin -->"
END_MARKER = "<!-- capacity: end -->"
COMMAND = "python -m sassafraswharf_bench.capacity"
MICROSECONDS_PER_SECOND = 1e6


def render_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def slope_rows(slopes: Mapping[str, float]) -> list[tuple[str, str]]:
    """Return the measured slopes; seconds are shown in microseconds."""
    rows = []
    for name, value in slopes.items():
        if name.endswith("_s"):
            rows.append((f"`{name}`", f"{value * MICROSECONDS_PER_SECOND:,.4g} µs"))
        else:
            rows.append((f"`{name}`", f"{value:,.1f} B"))
    return rows


def render(measured: Mapping[str, Any]) -> str:
    """Return the section of the page between its markers."""
    targets, assumed, slopes = Targets(), Assumptions(), measured["slopes"]
    return "\n\n".join(
        [
            (
                f"Measured on {measured['date']} with `{COMMAND}`, "
                f"Python {measured['python']}, {measured['processors']} processors, "
                f"load average {measured['load'][0]:.1f} before and "
                f"{measured['load'][1]:.1f} after."
            ),
            "### Slopes",
            render_table(("slope", "value"), slope_rows(slopes)),
            "### Roles at full size",
            render_table(ROLE_HEADER, role_rows(targets, assumed, slopes)),
            "### Requirements",
            render_table(CHECK_HEADER, check_rows(targets, assumed, slopes)),
        ]
    )


def replace_section(page: str, block: str) -> str:
    """Return the page with the text between its markers replaced.

    Raise ValueError if a marker is missing.
    """
    if BEGIN_MARKER not in page or END_MARKER not in page:
        raise ValueError("the page lacks a begin or end marker of the capacity section")
    before, rest = page.split(BEGIN_MARKER, 1)
    after = rest.split(END_MARKER, 1)[1]
    return f"{before}{BEGIN_MARKER}\n{block}\n{END_MARKER}{after}"
