"""Shows the hosts, their leases and the revision in force on each."""

from __future__ import annotations

from typing import Final

from result import Err

from sassafraswharf.console.connection import NO_OPTIONS
from sassafraswharf.console.connection import Connection
from sassafraswharf.console.connection import open_client
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.console.fleet_status import FleetStatus
from sassafraswharf.console.fleet_status import fetch_status
from sassafraswharf.console.output import json_objects
from sassafraswharf.console.output import print_json
from sassafraswharf.console.output import print_line
from sassafraswharf.console.output import print_note
from sassafraswharf.console.output import print_refusal
from sassafraswharf.console.output import print_table
from sassafraswharf.console.output import rows_of
from sassafraswharf.console.runner import AsJson  # noqa: TC001  cyclopts


EXAMPLES: Final = """\
sassafraswharf status
sassafraswharf status --json
sassafraswharf status --admin 10.20.0.1:7104
"""
COLUMNS: Final = (
    "host",
    "cell",
    "zone",
    "parts",
    "live",
    "session",
    "revision",
    "table_version",
    "lease_remaining_s",
    "upstreams",
)


async def status(
    *, as_json: AsJson = False, connection: Connection = NO_OPTIONS
) -> int:
    """Show every host with its lease and the revision in force on it."""
    opened = open_client(connection, with_key=False)
    if isinstance(opened, Err):
        print_refusal(opened.err_value, as_json=as_json)
        return opened.err_value.exit_code
    async with opened.ok_value as client:
        fetched = await fetch_status(client)
    if isinstance(fetched, Err):
        print_refusal(fetched.err_value, as_json=as_json)
        return fetched.err_value.exit_code
    (_show_json if as_json else _show)(fetched.ok_value)
    return ExitCode.DONE


def _show_json(fleet: FleetStatus) -> None:
    merged = {
        "hosts": list(fleet.hosts.values()),
        "unknown_cells": list(fleet.unknown_cells),
    }
    print_json({**fleet.answer, **merged})


def _show(fleet: FleetStatus) -> None:
    answer = fleet.answer
    leader = answer.get("configuration_leader") or "none"
    print_line(
        f"{answer.get('deployment')}: revision {answer.get('revision')}, "
        f"configuration leader {leader}"
    )
    for cell in json_objects(answer.get("cells")):
        print_line(
            f"{cell.get('cell')}: leader {cell.get('leader') or 'none'}, "
            f"table version {cell.get('table_version')}"
        )
    print_table(COLUMNS, rows_of(list(fleet.hosts.values()), COLUMNS))
    for cell_name in fleet.unknown_cells:
        print_note(f"the leader of {cell_name} did not answer; its hosts are missing")
