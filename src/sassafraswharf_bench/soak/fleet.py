"""The fleet of the soak: recording upstreams and callers of the stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import DIARY
from sassafraswharf_bench.provider.fleet import Fleet
from sassafraswharf_bench.provider.machines import CONTROL_PORT
from sassafraswharf_bench.provider.machines import ENDPOINT_PORT
from sassafraswharf_bench.soak.probe_caller import ProbeCaller
from sassafraswharf_bench.soak.upstream import Upstream


if TYPE_CHECKING:
    from pathlib import Path

    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.soak.ledger import Ledger


def services(hosts: int) -> list[str]:
    """Return the services of so many routers.

    >>> services(5)
    ['diary', 'booking', 'diary', 'booking', 'diary']
    """
    return [BOOKING if number % 2 else DIARY for number in range(hosts)]


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
        self.ledger = ledger
        self.upstreams: dict[str, Upstream] = {}

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
