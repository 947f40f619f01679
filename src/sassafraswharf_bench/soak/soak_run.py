"""Runs one fault schedule against real processes and records the traffic."""

from __future__ import annotations

import asyncio
import contextlib
import time

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.soak.caller import CALLER_PROFILES
from sassafraswharf_bench.soak.caller import SoakCaller
from sassafraswharf_bench.soak.configuration import EXTRA_PREFIX
from sassafraswharf_bench.soak.configuration import ConfigurationChanger
from sassafraswharf_bench.soak.configuration import first_document
from sassafraswharf_bench.soak.configuration import read_once
from sassafraswharf_bench.soak.fleet import SoakFleet
from sassafraswharf_bench.soak.injector import FaultInjector
from sassafraswharf_bench.soak.ledger import Ledger
from sassafraswharf_bench.soak.ledger import RouteProbe
from sassafraswharf_bench.soak.rollout_prober import RolloutProber


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.soak.fault import Fault


RECOVERY_S: Final = 15.0
SETTLE_S: Final = 4.0
"""Callers continue this long after recovery, until every machine is reconnected."""
PROBE_ATTEMPTS: Final = 5
PAUSE_S: Final = 0.2
LAG_CHECK_S: Final = 0.05


class SoakRun:
    """One run of the soak: a fleet, its callers and the faults."""

    def __init__(
        self, seed: int, hosts: int, net: int, grants: str, folder: Path
    ) -> None:
        """Prepare a run in a folder of its own.

        ``grants`` says how upstreams are granted keys: ``heartbeat`` or ``call``.
        """
        self.seed = seed
        self.ledger = Ledger()
        self.fleet = SoakFleet(
            folder, hosts, net, grants, self.ledger, first_document()
        )
        self.changes = ConfigurationChanger(seed, self.fleet.operator, self.ledger)

    async def play(self, faults: Sequence[Fault]) -> Ledger:
        """Inject the faults and return the records of the run."""
        try:
            await self.fleet.start()
            await self.play_under_load(faults)
            await self.read_final_state()
        finally:
            await self.fleet.stop()
        return self.ledger

    async def play_under_load(self, faults: Sequence[Fault]) -> None:
        """Inject the faults while callers and readers run."""
        stopping = asyncio.Event()
        injector = FaultInjector(self.fleet, self.changes)
        machines = self.fleet.machines
        callers = [
            SoakCaller(self.seed, machine, profile, number, self.ledger).run(stopping)
            for machine in machines.routers
            for profile in CALLER_PROFILES
            for number in range(profile.callers)
        ]
        watching = [
            asyncio.create_task(injector.restart_crashed()),
            asyncio.create_task(self.watch_lag()),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for caller in callers:
                    group.create_task(caller)
                group.create_task(
                    self.changes.read_continuously(machines.controls, stopping)
                )
                group.create_task(RolloutProber(self.fleet).run(stopping))
                await injector.play(faults)
                self.ledger.is_recovered = await self.recovers_in_time()
                await asyncio.sleep(SETTLE_S)
                stopping.set()
        finally:
            for task in watching:
                task.cancel()
            await asyncio.wait(watching)

    async def recovers_in_time(self) -> bool:
        """Return whether requests are served in time after the last fault."""
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            if await self.fleet.is_served():
                return True
            await asyncio.sleep(PAUSE_S)
        return False

    async def read_final_state(self) -> None:
        """Read the configuration and ask each router for every added route."""
        until = time.monotonic() + RECOVERY_S
        controls = self.fleet.machines.controls
        turn = 0
        while self.ledger.final is None and time.monotonic() < until:
            self.ledger.final = await read_once(controls[turn % len(controls)])
            turn += 1
            await asyncio.sleep(PAUSE_S)
        names = [
            f"{EXTRA_PREFIX}{one + 1}" for one in range(self.changes.extra_route_count)
        ]
        for machine in self.fleet.machines.routers:
            self.ledger.probes += await asyncio.gather(
                *(self.probe(machine, name) for name in names)
            )

    async def probe(self, machine: Machine, name: str) -> RouteProbe:
        """Ask a router for an added route until it gives a clear answer."""
        status = 0
        for _ in range(PROBE_ATTEMPTS):
            caller = self.fleet.caller(machine.name)
            status = (await caller.send("GET", f"/{name}/x", HOST)).status
            if status in {200, 404}:
                break
            await asyncio.sleep(PAUSE_S)
        return RouteProbe(machine.name, name, status)

    async def watch_lag(self) -> None:
        """Measure how late this process runs, which blurs the times it records."""
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                before = time.monotonic()
                await asyncio.sleep(LAG_CHECK_S)
                lag_s = time.monotonic() - before - LAG_CHECK_S
                self.ledger.loop_lag_s = max(self.ledger.loop_lag_s, lag_s)
