"""The status of all hosts, merged from the leaders of the cells."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from sassafraswharf.console.output import json_objects


if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafraswharf.console.admin_client import AdminClient
    from sassafraswharf.console.refusal import Body
    from sassafraswharf.console.refusal import Refusal


STATUS_PATH: Final = "/v1/status"


class FleetStatus(NamedTuple):
    """What the leaders report, and the cells whose leader did not answer."""

    answer: Body
    hosts: Mapping[str, Body]
    unknown_cells: tuple[str, ...]

    def lagging(self, revision: int) -> list[str]:
        """Name the live hosts without the revision, and the unknown cells.

        If no live host is reported, the revision can't be confirmed anywhere, so the
        whole deployment is named.
        """
        if not any(host.get("live") for host in self.hosts.values()):
            return ["the whole deployment (no live host is reported)"]
        late = [
            f"host {name} (revision {host.get('revision')})"
            for name, host in sorted(self.hosts.items())
            if host.get("live") and not _has_revision(host, revision)
        ]
        return late + [
            f"cell {cell} (its leader is unknown)" for cell in self.unknown_cells
        ]


async def fetch_status(client: AdminClient) -> Result[FleetStatus, Refusal]:
    """Ask one control host, then the leader of each cell."""
    first = await client.get(STATUS_PATH)
    if isinstance(first, Err):
        return first
    answer = first.ok_value
    hosts = {str(host.get("host")): host for host in json_objects(answer.get("hosts"))}
    unknown = []
    for cell in json_objects(answer.get("cells")):
        name = str(cell.get("cell"))
        found = await _hosts_of_cell(client, name, cell.get("leader"))
        if found is None:
            unknown.append(name)
        else:
            hosts |= found
    return Ok(FleetStatus(answer, hosts, tuple(unknown)))


async def _hosts_of_cell(
    client: AdminClient, cell: str, leader: object
) -> dict[str, Body] | None:
    """Return the hosts that the leader of a cell reports, or None.

    An answer counts only if its sender says that it leads the cell: a deposed
    leader lists itself alone, and the hosts it omits would seem to be up to date.
    """
    if not isinstance(leader, str):
        return None
    answer = await client.get_from(leader, STATUS_PATH)
    if isinstance(answer, Err):
        return None
    cells = json_objects(answer.ok_value.get("cells"))
    led = [item.get("cell") for item in cells if item.get("leader") == leader]
    if cell not in led:
        return None
    hosts = json_objects(answer.ok_value.get("hosts"))
    return {str(host.get("host")): host for host in hosts if host.get("cell") == cell}


def _has_revision(host: Body, revision: int) -> bool:
    reported = host.get("revision")
    return isinstance(reported, int) and reported >= revision
