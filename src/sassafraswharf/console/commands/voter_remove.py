"""Removes a voter from a log group."""

from __future__ import annotations

from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.runner import Author
from sassafraswharf.console.runner import RequiredGroup
from sassafraswharf.console.runner import author_name
from sassafraswharf.console.runner import run_change


EXAMPLES: Final = """\
sassafraswharf voter-remove dub-b-1:5c7e --group configuration
"""


async def voter_remove(
    replica: str,
    /,
    *,
    group: RequiredGroup,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Remove the voter REPLICA from a log GROUP, for example after a lost disk."""
    path = "/v1/voters"
    body = {
        "action": "remove",
        "replica": replica,
        "actor": author_name(author),
    }
    return await run_change(connection, path, {"group": group}, body, repeatable=False)
