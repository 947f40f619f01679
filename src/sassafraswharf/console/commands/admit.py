"""Admits an upstream."""

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
sassafraswharf upstreams
sassafraswharf admit diary-3
"""


async def admit(
    upstream: str,
    /,
    *,
    cell: Cell = None,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Admit an announced UPSTREAM, so that it gets slots and requests."""
    path = f"/v1/upstreams/{quote(upstream, safe='')}/admit"
    body = {"actor": author_name(author)}
    return await run_change(connection, path, {"cell": cell}, body, repeatable=True)
