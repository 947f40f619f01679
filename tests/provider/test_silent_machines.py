"""Test of requests without a key while the router of their endpoint is frozen."""

from __future__ import annotations

import asyncio
import signal

from typing import TYPE_CHECKING

from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.provider.fleet import Fleet
from sassafraswharf_bench.provider.fleet import document


if TYPE_CHECKING:
    from pathlib import Path


WORK_S = 9.0
FREEZE_S = 7.0
"""Longer than the lease of 4.5 s, so that the endpoint is removed from the table."""
DEADLINE_MS = 20_000


async def run_with_frozen_router(folder: Path) -> None:
    fleet = Fleet(folder, ["diary", BOOKING, BOOKING], 63)
    try:
        await fleet.start()
        peek = {"pathPrefix": "/peek/", "routeType": "idempotent", "service": BOOKING}
        assert await fleet.operator.replace(document(2, 1, peek=peek)) == 200
        await asyncio.sleep(2.0)
        for endpoint in fleet.endpoints.values():
            endpoint.work_s = WORK_S
        caller = fleet.caller("side-0")
        kinds = [("POST", "/book/x"), ("GET", "/peek/x")] * 3
        asked = [
            asyncio.create_task(
                caller.send(method, path, HOST, deadline_ms=DEADLINE_MS)
            )
            for method, path in kinds
        ]
        await asyncio.sleep(0.5)
        frozen = max(
            fleet.endpoints, key=lambda name: len(fleet.endpoints[name].running)
        )
        assert fleet.endpoints[frozen].running
        log = folder / "side-0.log"
        known = log.read_bytes().count(b"fleet_in_force")
        fleet.machines.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        assert log.read_bytes().count(b"fleet_in_force") > known
        fleet.machines.signal(frozen, signal.SIGCONT)
        replies = await asyncio.gather(*asked)
        assert [reply.status for reply in replies] == [200] * len(asked)
        runs = fleet.runs()
        assert [runs[reply.request_id] for reply in replies] == [1] * len(asked)
    finally:
        await fleet.stop()


def test_running_work_outlives_a_freeze_of_the_router_beside(tmp_path: Path) -> None:
    """Guards against requests cancelled or rerun when the lease of a router ends."""
    asyncio.run(run_with_frozen_router(tmp_path))
