"""Drains an upstream."""

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
sassafraswharf drain diary-3
sassafraswharf upstreams
"""


async def drain(
    upstream: str,
    /,
    *,
    cell: Cell = None,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Stop new work for an UPSTREAM; requests in flight are finished."""
    path = f"/v1/upstreams/{quote(upstream, safe='')}/drain"
    body = {"actor": author_name(author)}
    return await run_change(connection, path, {"cell": cell}, body, repeatable=True)
