"""Explains where a key is served."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.output import print_table
from sassafraswharf.console.runner import AsJson
from sassafraswharf.console.runner import Cell
from sassafraswharf.console.runner import run_read


if TYPE_CHECKING:
    from sassafraswharf.console.refusal import Body


EXAMPLES: Final = """\
sassafraswharf explain diary 42
sassafraswharf explain diary 42 --json
"""


async def explain(
    service: str,
    key: str,
    /,
    *,
    cell: Cell = None,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Say which slot, upstream and host a KEY of a SERVICE belongs to."""
    return await run_read(
        connection,
        "/v1/explain",
        {"service": service, "key": key, "cell": cell},
        _show,
        as_json=as_json,
    )


def _show(answer: Body) -> None:
    print_table(["field", "value"], ([field, answer[field]] for field in answer))
