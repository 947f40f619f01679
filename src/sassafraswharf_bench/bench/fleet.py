"""Deployments of daemon and stand-in processes for the benchmarks."""

from __future__ import annotations

import asyncio
import os
import time

from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf.declare import deployment
from sassafraswharf.declare import path_key
from sassafraswharf.declare import placement
from sassafraswharf.declare import service
from sassafraswharf.declare import weights
from sassafraswharf_bench.local_deployment import HostSpec
from sassafraswharf_bench.local_deployment import LocalDeployment
from sassafraswharf_bench.local_deployment import StandInSpec


if TYPE_CHECKING:
    from collections.abc import Sequence


WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
MOVES_PER_MINUTE = 100_000
MIN_FRACTION_OF_EQUAL_SHARE = 0.8
"""Slots count as balanced once each upstream owns this part of an equal share."""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
THREE_HOSTS = (HostSpec("a", "z1"), HostSpec("b", "z2"), HostSpec("c", "z3"))
CONTROL_HOSTS = (
    HostSpec("c1", "z1", router=False),
    HostSpec("c2", "z2", router=False),
    HostSpec("c3", "z3", router=False),
)
FIVE_HOSTS = (
    *CONTROL_HOSTS,
    HostSpec("r1", "z1", control=False),
    HostSpec("r2", "z2", control=False),
)


def document(unavailable: float = 6.0, imbalance: float = 0.0) -> Any:  # noqa: ANN401
    """Return a configuration with one keyed service.

    With an imbalance weight of 0, slots move only after an upstream is lost.
    """
    return deployment(
        weights=weights(unavailable=unavailable, imbalance=imbalance, churn=2.0),
        placement=placement(moves_per_minute=MOVES_PER_MINUTE),
        services=[
            service(
                "diary",
                prefix="/diary",
                key=path_key(0),
                repeatable=["GET /*"],
                at_most_once=["POST /*/bookings", "POST /*/deposits"],
                deadline_s=5.0,
                admit="any",
            )
        ],
    )


class BenchDeployment(LocalDeployment):
    """Daemons, and a stand-in upstream on each host of ``stand_in_hosts``."""

    def __init__(
        self,
        folder: Path,
        hosts: Sequence[HostSpec],
        stand_in_hosts: Sequence[str],
        stand_in_flags: Sequence[str] = (),
        daemon: str = "sassafraswharf.daemon.main",
    ) -> None:
        """Prepare the processes; ``daemon`` is the module to run as the daemon."""
        super().__init__(folder, hosts)
        self.daemon = daemon
        self.stand_ins = {
            host: StandInSpec(f"diary-{host}", "diary", host, tuple(stand_in_flags))
            for host in stand_in_hosts
        }

    async def start_hosts(self, *names: str) -> None:
        """Start daemons, all of them if no names are given."""
        for name in names or tuple(self.hosts):
            path = str(self.folder / f"{name}.json")
            await self.start(name, (self.daemon, path))

    async def start_all(self) -> None:
        """Start all processes and wait until every slot is owned."""
        await self.start_hosts()
        applied = await self.apply(document(), "first")
        if applied["code"]:
            raise RuntimeError(f"the configuration was refused: {applied}")
        await asyncio.gather(*map(self.start_stand_in, self.stand_ins.values()))
        await self.wait_until_settled()

    async def wait_until_settled(self) -> Any:  # noqa: ANN401
        """Wait until all slots are owned and no takeover is pending."""
        return await self.wait_until("owners", is_settled, WAIT_TIMEOUT_S)

    async def wait_until_listening(self, host: str) -> None:
        """Wait until the admin port of a host answers."""
        path = "status" if self.hosts[host].control else "router"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                status, _ = await self.ask_admin(host, path, None)
                if status == 200:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def balance_slots(self) -> None:
        """Enable rebalancing and wait until every stand-in has about an equal share."""
        applied = await self.apply(document(imbalance=6.0), "spread", base_revision=1)
        if applied["code"]:
            raise RuntimeError(f"the configuration was refused: {applied}")
        await self.wait_until("owners", self.is_balanced, WAIT_TIMEOUT_S)

    def is_balanced(self, owners: Any) -> bool:  # noqa: ANN401
        """Return whether the slots are balanced and no move is pending."""
        found: Counter[str] = Counter()
        for run in owners["services"][0]["runs"]:
            found[run["upstream"]] += run["length"]
        least = MIN_FRACTION_OF_EQUAL_SHARE * found.total() / len(self.stand_ins)
        names = (spec.name for spec in self.stand_ins.values())
        return is_settled(owners) and all(found[name] >= least for name in names)

    async def kill_host(self, host: str) -> None:
        """Kill a daemon and the stand-in on its host."""
        names = [host]
        if host in self.stand_ins:
            names.append(self.stand_ins[host].name)
        await self.kill(*names)

    async def restart_host(self, host: str) -> None:
        """Start the daemon of a host, and its stand-in if it has one."""
        await self.start_hosts(host)
        if host in self.stand_ins:
            await self.start_stand_in(self.stand_ins[host])

    async def leader(self) -> str:
        """Return the control host that leads the cell."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for name, host in self.hosts.items():
                    if host.control and self.processes[name].returncode is None:
                        _, status = await self.ask_admin(name, "status", None)
                        if status and status["cells"][0]["leader"] == self.address(
                            name
                        ):
                            return name
                await asyncio.sleep(POLL_INTERVAL_S)

    def address(self, host: str) -> str:
        """Return the admin address of a host without its scheme."""
        return self.admin_url(host).removeprefix("http://")

    async def keys_owned_on(self, host: str, count: int) -> list[str]:
        """Return keys whose owner runs on a host."""
        found: list[str] = []
        for number in range(10_000):
            key = f"key-{number}"
            owner = await self.admin(f"explain?service=diary&key={key}")
            if owner["host"] == host:
                found.append(key)
            if len(found) == count:
                return found
        raise LookupError(f"{host} owns fewer than {count} of the keys")

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self.processes[name].pid

    def cpu_s(self, name: str) -> float:
        """Return the processor time of a process in seconds."""
        return cpu_s(self.pid(name))


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(text[11]) + int(text[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in units of 10^6 bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def is_settled(owners: Any) -> bool:  # noqa: ANN401
    """Return whether every slot is owned and no takeover is pending."""
    runs = [run for service in owners["services"] for run in service["runs"]]
    return bool(runs) and all(
        run["upstream"] and not run["sources"] and not run["closing"] for run in runs
    )


def now() -> float:
    """Return the monotonic clock in seconds."""
    return time.monotonic()
