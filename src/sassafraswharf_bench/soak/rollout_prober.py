"""Asks routers for added routes soon after a change was acknowledged."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.soak.configuration import EXTRA_PREFIX
from sassafraswharf_bench.soak.configuration_checks import ACKNOWLEDGED
from sassafraswharf_bench.soak.configuration_checks import MAX_SKEW_S
from sassafraswharf_bench.soak.configuration_checks import PROPAGATION_WINDOW_S
from sassafraswharf_bench.soak.ledger import RolloutProbe


if TYPE_CHECKING:
    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.soak.fleet import SoakFleet
    from sassafraswharf_bench.soak.ledger import Change


WATCH_PERIOD_S: Final = 0.05


class RolloutProber:
    """Probes each router once when a change must be in force, and once later.

    The second time is for routers whose control hosts were disturbed.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        """Probe the routers of a fleet."""
        self.fleet = fleet
        self.ledger = fleet.ledger

    async def run(self, stopping: asyncio.Event) -> None:
        """Follow the acknowledged changes until the run ends."""
        seen = 0
        tasks: set[asyncio.Task[None]] = set()
        try:
            while not stopping.is_set():
                found = self.ledger.changes[seen:]
                seen += len(found)
                tasks |= {
                    asyncio.create_task(self.follow(one))
                    for one in found
                    if one.status == ACKNOWLEDGED
                }
                await asyncio.sleep(WATCH_PERIOD_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def follow(self, change: Change) -> None:
        """Ask all routers for the newest route that a change has."""
        names = [one["name"] for one in change.document["routes"]]
        extra = [name for name in names if name.startswith(EXTRA_PREFIX)]
        if not extra:
            return
        for delay_s in (PROPAGATION_WINDOW_S, PROPAGATION_WINDOW_S + MAX_SKEW_S):
            due_at = change.answered_at + delay_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            routers = self.fleet.machines.routers
            probes = (self.probe(one, change.version, extra[-1]) for one in routers)
            self.ledger.rollouts += await asyncio.gather(*probes)

    async def probe(self, machine: Machine, version: int, name: str) -> RolloutProbe:
        """Send one request for a route."""
        sent_at = time.monotonic()
        caller = self.fleet.caller(machine.name)
        status = (await caller.send("GET", f"/{name}/x", HOST)).status
        return RolloutProbe(version, machine.name, name, sent_at, status)
