"""Shows the requests that crash upstreams."""

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
    "digest",
    "service",
    "state",
    "crashes",
    "upstreams",
    "expires_in_s",
)
EXAMPLES: Final = """\
sassafraswharf suspects
sassafraswharf release 9f2a41
"""


async def suspects(
    *,
    cell: Cell = None,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Show requests that are suspected or convicted of crashing upstreams."""
    return await run_read(
        connection, "/v1/suspects", {"cell": cell}, _show, as_json=as_json
    )


def _show(answer: Body) -> None:
    print_table(COLUMNS, rows_of(answer.get("suspects"), COLUMNS))
