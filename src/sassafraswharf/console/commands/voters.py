"""Shows the members of log groups."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.output import json_objects
from sassafraswharf.console.output import print_table
from sassafraswharf.console.runner import AsJson
from sassafraswharf.console.runner import Group
from sassafraswharf.console.runner import run_read


if TYPE_CHECKING:
    from sassafraswharf.console.refusal import Body


COLUMNS: Final = (
    "group",
    "replica",
    "role",
    "match_index",
    "live",
    "leader",
    "term",
)
EXAMPLES: Final = """\
sassafraswharf voters
sassafraswharf voters --group configuration --json
"""


async def voters(
    *,
    group: Group = None,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Show the replicas of the log groups and who leads."""
    return await run_read(
        connection, "/v1/voters", {"group": group}, _show, as_json=as_json
    )


def _show(answer: Body) -> None:
    rows = []
    for group in json_objects(answer.get("groups")):
        for member in json_objects(group.get("members")):
            leads = member.get("replica") == group.get("leader")
            fields = ("replica", "role", "match_index", "live")
            values = [member.get(field) for field in fields]
            rows.append([group.get("group"), *values, leads, group.get("term")])
    print_table(COLUMNS, rows)
