"""Shows the upstreams of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.output import print_table
from sassafraswharf.console.output import rows_of
from sassafraswharf.console.runner import AsJson
from sassafraswharf.console.runner import Cell
from sassafraswharf.console.runner import run_read


if TYPE_CHECKING:
    from sassafraswharf.console.refusal import Body


COLUMNS: Final = (
    "upstream",
    "service",
    "state",
    "host",
    "zone",
    "address",
    "slots",
    "connections",
    "speed",
    "owned_slots",
    "owned_keys",
    "busy",
    "checks_grants",
)
EXAMPLES: Final = """\
sassafraswharf upstreams
sassafraswharf upstreams --cell cell-2 --json
"""


async def upstreams(
    *,
    cell: Cell = None,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Show the announced upstreams and their states."""
    return await run_read(
        connection, "/v1/upstreams", {"cell": cell}, _show, as_json=as_json
    )


def _show(answer: Body) -> None:
    print_table(COLUMNS, rows_of(answer.get("upstreams"), COLUMNS))
