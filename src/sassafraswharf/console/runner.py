"""Options and request handling shared by the commands."""

from __future__ import annotations

import getpass

from typing import TYPE_CHECKING
from typing import Annotated
from typing import TypeAlias

from cyclopts import Parameter
from result import Err

from sassafraswharf.console.connection import open_client
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.console.output import print_json
from sassafraswharf.console.output import print_line
from sassafraswharf.console.output import print_refusal


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sassafraswharf.console.connection import Connection
    from sassafraswharf.console.refusal import Body


AsJson: TypeAlias = Annotated[
    bool, Parameter(name="--json", negative="", help="Print the answer as JSON.")
]
Cell: TypeAlias = Annotated[
    str | None,
    Parameter(name="--cell", help="Cell to ask; by default that of the control host."),
]
Group: TypeAlias = Annotated[
    str | None,
    Parameter(name="--group", help="Log group; configuration or that of a cell."),
]
RequiredGroup: TypeAlias = Annotated[
    str,
    Parameter(name="--group", help="Log group; configuration or that of a cell."),
]
Author: TypeAlias = Annotated[
    str | None,
    Parameter(
        name="--author",
        env_var="SASSAFRASWHARF_AUTHOR",
        help="Your name in the audit trail; by default your user name.",
    ),
]


async def run_read(
    connection: Connection,
    path: str,
    query: Mapping[str, str | None],
    show: Callable[[Body], None],
    *,
    as_json: bool,
) -> int:
    """Ask the leader and show the answer as a table or as JSON."""
    opened = open_client(connection, with_key=False)
    if isinstance(opened, Err):
        print_refusal(opened.err_value, as_json=as_json)
        return opened.err_value.exit_code
    async with opened.ok_value as client:
        answer = await client.get(path, drop_unset(query))
    if isinstance(answer, Err):
        print_refusal(answer.err_value, as_json=as_json)
        return answer.err_value.exit_code
    (print_json if as_json else show)(answer.ok_value)
    return ExitCode.DONE


async def run_change(
    connection: Connection,
    path: str,
    query: Mapping[str, str | None],
    body: Mapping[str, object],
    *,
    repeatable: bool,
) -> int:
    """Send a change to the leader and print its message."""
    opened = open_client(connection, with_key=True)
    if isinstance(opened, Err):
        print_refusal(opened.err_value)
        return opened.err_value.exit_code
    async with opened.ok_value as client:
        answer = await client.post(path, body, drop_unset(query), repeatable=repeatable)
    if isinstance(answer, Err):
        print_refusal(answer.err_value)
        return answer.err_value.exit_code
    print_line(str(answer.ok_value.get("message", "done")))
    return ExitCode.DONE


def drop_unset(query: Mapping[str, str | None]) -> dict[str, str]:
    """Return the query fields that have a value."""
    return {field: value for field, value in query.items() if value is not None}


def author_name(author: str | None) -> str:
    """Return the given name, or the user name of the operator."""
    if author:
        return author
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
