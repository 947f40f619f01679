"""Adds a voter to a log group."""

from __future__ import annotations

from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.runner import Author
from sassafraswharf.console.runner import RequiredGroup
from sassafraswharf.console.runner import author_name
from sassafraswharf.console.runner import run_change


EXAMPLES: Final = """\
sassafraswharf voters
sassafraswharf voter-add dub-b-1:91fe --group configuration
"""


async def voter_add(
    replica: str,
    /,
    *,
    group: RequiredGroup,
    author: Author = None,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Make a learner REPLICA a voter of a log GROUP, once it has caught up."""
    path = "/v1/voters"
    body = {
        "action": "add",
        "replica": replica,
        "actor": author_name(author),
    }
    return await run_change(connection, path, {"group": group}, body, repeatable=False)
