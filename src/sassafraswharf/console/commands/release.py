"""Releases a request from quarantine."""

from __future__ import annotations

from typing import Final
from urllib.parse import quote

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.runner import Author
from sassafraswharf.console.runner import Cell
from sassafraswharf.console.runner import author_name
from sassafraswharf.console.runner import run_change


EXAMPLES: Final = """\
sassafraswharf suspects
sassafraswharf release 9f2a41
"""


async def release(
    digest: str,
    /,
    *,
    cell: Cell = None,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Release a suspected or convicted request by its DIGEST, so that it may run."""
    path = f"/v1/suspects/{quote(digest, safe='')}/release"
    body = {"actor": author_name(author)}
    return await run_change(connection, path, {"cell": cell}, body, repeatable=False)
