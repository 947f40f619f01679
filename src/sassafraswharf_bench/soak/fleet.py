"""The fleet of the soak: recording upstreams and callers of the stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import DIARY
from sassafraswharf_bench.provider.fleet import Fleet
from sassafraswharf_bench.provider.machines import CONTROL_PORT
from sassafraswharf_bench.provider.machines import ENDPOINT_PORT
from sassafraswharf_bench.provider.machines import PEER_PORTS
from sassafraswharf_bench.provider.machines import Machines
from sassafraswharf_bench.soak.link_proxy import LinkProxy
from sassafraswharf_bench.soak.probe_caller import ProbeCaller
from sassafraswharf_bench.soak.upstream import Upstream


if TYPE_CHECKING:
    from pathlib import Path

    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.soak.ledger import Ledger


ROUTER_PEER_PORTS: Final = [7_640, 7_655]


def services(hosts: int) -> list[str]:
    """Return the services of so many routers.

    >>> services(5)
    ['diary', 'booking', 'diary', 'booking', 'diary']
    """
    return [BOOKING if number % 2 else DIARY for number in range(hosts)]


class LinkedMachines(Machines):
    """Machines whose routers reach the control hosts through a link proxy each.

    Routers report to the port that they listen on themselves for other routers.
    """

    def settings_fields(self, machine: Machine) -> dict[str, object]:
        """Return what the provider tells a process."""
        fields = super().settings_fields(machine)
        if machine.role == "router":
            fields["peerPorts"] = ROUTER_PEER_PORTS
        return fields


class SoakFleet(Fleet):
    """Machines with upstreams that write to a ledger."""

    def __init__(
        self,
        folder: Path,
        hosts: int,
        net: int,
        grants: str,
        ledger: Ledger,
        first: dict[str, Any],
    ) -> None:
        """Prepare control hosts and so many routers."""
        super().__init__(folder, services(hosts), net, grants, first)
        self.machines = LinkedMachines(folder, services(hosts), net=net, grants=grants)
        self.control_links = {
            one.name: LinkProxy((one.ip, ROUTER_PEER_PORTS[0]), (one.ip, PEER_PORTS[0]))
            for one in self.machines.controls
        }
        self.ledger = ledger
        self.upstreams: dict[str, Upstream] = {}

    async def start(self) -> None:
        """Start everything and wait until requests are served."""
        for link in self.control_links.values():
            await link.start()
        await super().start()

    async def stop(self) -> None:
        """End everything that was started."""
        await super().stop()
        for link in self.control_links.values():
            await link.stop()

    def make_endpoint(self, machine: Machine) -> Upstream:
        """Return a new life of the upstream of a machine."""
        upstream = Upstream(
            machine.name,
            machine.service,
            (machine.ip, ENDPOINT_PORT),
            (machine.ip, CONTROL_PORT),
            keyed=machine.service == DIARY,
            called=self.machines.grants == "call",
            ledger=self.ledger,
        )
        self.upstreams[machine.name] = upstream
        return upstream

    async def end_endpoint(self, name: str) -> None:
        """End an upstream at once, with its connections."""
        self.endpoints.pop(name)
        await self.upstreams.pop(name).end()

    def caller(self, name: str) -> ProbeCaller:
        """Return a caller whose requests are known to the ledger."""
        return ProbeCaller(self.machines.machine(name), self.ledger)
