"""Shows the owners of slots."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.output import json_objects
from sassafraswharf.console.output import print_table
from sassafraswharf.console.runner import AsJson
from sassafraswharf.console.runner import Cell
from sassafraswharf.console.runner import run_read


if TYPE_CHECKING:
    from sassafraswharf.console.refusal import Body


COLUMNS: Final = (
    "service",
    "slots",
    "upstream",
    "host",
    "session",
    "epoch",
    "closing",
    "sources",
)
EXAMPLES: Final = """\
sassafraswharf owners
sassafraswharf owners diary --json
"""


async def owners(
    service: str | None = None,
    /,
    *,
    cell: Cell = None,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Show which upstream owns which slots, optionally of one SERVICE."""
    return await run_read(
        connection,
        "/v1/owners",
        {"service": service, "cell": cell},
        _show,
        as_json=as_json,
    )


def _show(answer: Body) -> None:
    rows = [
        _row(service.get("service"), run)
        for service in json_objects(answer.get("services"))
        for run in json_objects(service.get("runs"))
    ]
    print_table(COLUMNS, rows)


def _row(service: object, run: Body) -> list[object]:
    start, length = run.get("start"), run.get("length")
    slots = None
    if isinstance(start, int) and isinstance(length, int):
        slots = f"{start}-{start + length - 1}"
    fields = ("upstream", "host", "session", "epoch", "closing", "sources")
    return [service, slots, *(run.get(field) for field in fields)]
