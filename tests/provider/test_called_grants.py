"""End-to-end tests with endpoints that request their key grants by calls."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time

from typing import TYPE_CHECKING

import aiohttp
import pytest

from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import DIARY
from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.provider.fleet import Fleet


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path


SERVICES = [DIARY, DIARY, DIARY, BOOKING]
POLL_S = 0.005
CALL_DELAY_S = 2.0


async def fail_on_overlapping_holds(fleet: Fleet) -> None:
    """Fail as soon as two endpoints hold the same keys."""
    while True:
        now = time.monotonic()
        held = sorted(
            (hold.first, hold.last, name)
            for name, endpoint in fleet.endpoints.items()
            if endpoint.call_granted_holds is not None
            for hold in endpoint.call_granted_holds.held(now)
        )
        for before, after in itertools.pairwise(held):
            assert before[1] < after[0], (before, after)
        await asyncio.sleep(POLL_S)


def run_scenario(
    folder: Path, net: int, scenario: Callable[[Fleet], Awaitable[None]]
) -> None:
    async def main() -> None:
        fleet = Fleet(folder, SERVICES, net, grants="call")
        watching = asyncio.create_task(fail_on_overlapping_holds(fleet))
        try:
            await fleet.start()
            await scenario(fleet)
            if watching.done():
                watching.result()
        finally:
            watching.cancel()
            await fleet.stop()

    asyncio.run(main())


@pytest.mark.parametrize("delayed_call_count", [0, 6])
def test_keys_move_between_endpoints_that_come_and_go(
    tmp_path: Path, delayed_call_count: int
) -> None:
    """Guards against keys with no holder, or two holders, while calls are delayed."""

    async def scenario(fleet: Fleet) -> None:
        for endpoint in fleet.endpoints.values():
            endpoint.call_delays_s = [CALL_DELAY_S] * delayed_call_count
        leaving = fleet.endpoints["side-1"]
        leaving.state = "draining"

        async def is_empty() -> bool:
            assert leaving.call_granted_holds is not None
            return not leaving.call_granted_holds.held(time.monotonic())

        await fleet.wait_until(is_empty, "the endpoint still holds keys")
        await fleet.wait_until(fleet.is_served, "keys are not served again")
        await fleet.end_endpoint("side-1")
        await fleet.start_endpoint("side-1")
        await asyncio.sleep(CALL_DELAY_S)
        await fleet.wait_until(fleet.is_served, "keys are not served at the end")

    run_scenario(tmp_path, 31 if delayed_call_count else 32, scenario)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_router_that_restarts_goes_on_with_the_keys_of_its_endpoint(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against keys that are released, or held twice, when a router restarts."""

    async def scenario(fleet: Fleet) -> None:
        fleet.machines.signal("side-0", number)
        await asyncio.to_thread(fleet.machines.processes["side-0"].wait, 10)
        fleet.machines.start("side-0")
        caller = fleet.caller("side-1")
        await asyncio.sleep(0.5)

        async def is_served() -> bool:
            keys = range(0, 65_536, 4_096)
            replies = [await caller.send("GET", "/diary/x", HOST, key=k) for k in keys]
            return all(reply.status == 200 for reply in replies)

        await fleet.wait_until(is_served, "keys are not served again")
        ip = fleet.machines.machine("side-0").ip
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{ip}:9464/metrics") as response,
        ):
            page = await response.text()
        assert "sassafraswharf_hold_calls_total" in page
        assert 'outcome="granted"' in page

    run_scenario(tmp_path, 33 if number is signal.SIGKILL else 34, scenario)
