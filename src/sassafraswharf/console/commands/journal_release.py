"""Abandons journal records whose quorum is lost."""

from __future__ import annotations

from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.runner import Author
from sassafraswharf.console.runner import Cell
from sassafraswharf.console.runner import author_name
from sassafraswharf.console.runner import run_change


EXAMPLES: Final = """\
sassafraswharf owners booking
sassafraswharf journal-release booking
"""


async def journal_release(
    service: str,
    /,
    *,
    cell: Cell = None,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Serve the slots of a SERVICE whose journal records have no quorum left.

    A request that ran before may then run a second time if it is sent again.
    """
    query = {"service": service, "cell": cell}
    body = {"actor": author_name(author)}
    return await run_change(
        connection, "/v1/journal/release", query, body, repeatable=False
    )
