"""Shows the configuration in force."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Final

from cyclopts import Parameter

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.output import json_objects
from sassafraswharf.console.output import print_line
from sassafraswharf.console.output import print_table
from sassafraswharf.console.runner import AsJson
from sassafraswharf.console.runner import run_read


if TYPE_CHECKING:
    from sassafraswharf.console.refusal import Body


EXAMPLES: Final = """\
sassafraswharf show
sassafraswharf show --document > now.json
sassafraswharf show --revision 7 --document | sassafraswharf apply -
"""
COLUMNS: Final = (
    "service",
    "prefix",
    "key",
    "slot_count",
    "operations",
    "deadline_s",
    "admit",
    "calls",
)


async def show(
    *,
    revision: int | None = None,
    document: Annotated[bool, Parameter(negative="")] = False,
    as_json: AsJson = False,
    connection: Connection = NO_OPTIONS,
) -> int:
    """Show the configuration in force, or an older revision that is still held.

    Parameters
    ----------
    revision
        Revision to show instead of the newest.
    document
        Print only the document, which apply accepts.
    """
    query = {"revision": None if revision is None else str(revision)}
    view = _show_document if document else _show
    path = "/v1/configuration"
    return await run_read(connection, path, query, view, as_json=as_json)


def _show_document(answer: Body) -> None:
    print_line(json.dumps(answer.get("document"), indent=2, ensure_ascii=False))


def _show(answer: Body) -> None:
    fields = ("change_id", "author")
    origin = ", ".join(f"{field} {answer.get(field) or '-'}" for field in fields)
    print_line(f"revision {answer.get('revision')}, {origin}")
    document = answer.get("document")
    if not isinstance(document, dict):
        return
    print_line(f"weights {json.dumps(document.get('weights'))}")
    print_line(f"placement {json.dumps(document.get('placement'))}")
    print_table(
        COLUMNS, (_row(item) for item in json_objects(document.get("services")))
    )


def _row(service: Body) -> list[object]:
    operations = json_objects(service.get("operations"))
    return [
        service.get("name"),
        service.get("prefix"),
        _key(service.get("key")),
        service.get("slot_count"),
        len(operations),
        service.get("deadline_s"),
        service.get("admit"),
        service.get("calls"),
    ]


def _key(key: object) -> str | None:
    if not isinstance(key, dict):
        return None
    return f"{key.get('from')} {key.get('segment', key.get('name'))}"
