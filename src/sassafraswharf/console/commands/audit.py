"""Shows the audit trail."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Final
from typing import TypeAlias

from cyclopts import Parameter
from cyclopts.validators import Number

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.output import print_note
from sassafraswharf.console.output import print_table
from sassafraswharf.console.output import rows_of
from sassafraswharf.console.runner import AsJson
from sassafraswharf.console.runner import Group
from sassafraswharf.console.runner import run_read


if TYPE_CHECKING:
    from sassafraswharf.console.refusal import Body


COLUMNS: Final = (
    "at",
    "actor",
    "action",
    "subject",
    "revision",
    "code",
    "detail",
)
Limit: TypeAlias = Annotated[
    int, Parameter(help="Entries to show.", validator=Number(gte=1, lte=1_000))
]
EXAMPLES: Final = """\
sassafraswharf audit
sassafraswharf audit --limit 20 --json
"""


async def audit(
    *,
    limit: Limit = 100,
    group: Group = None,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Show who changed what, when and with which result."""
    return await run_read(
        connection,
        "/v1/audit",
        {"limit": str(limit), "group": group},
        _show,
        as_json=as_json,
    )


def _show(answer: Body) -> None:
    rows = rows_of(answer.get("entries"), COLUMNS)
    print_table(COLUMNS, ([_time(row[0]), *row[1:]] for row in rows))
    if answer.get("dropped"):
        print_note(f"{answer['dropped']} older entries are no longer held")


def _time(at: object) -> str | None:
    if not isinstance(at, int | float):
        return None
    try:
        return datetime.fromtimestamp(at, UTC).isoformat(" ", "seconds")
    except (OverflowError, ValueError, OSError):
        return str(at)
