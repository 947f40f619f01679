"""Tests that a change counts as rolled out once the routers report it."""

from __future__ import annotations

import asyncio

import pytest

from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.rollout import MAX_ROLLOUT_WAIT_S
from sassafraswharf.fleet.rollout import Rollout
from sassafraswharf.platform.documents import DocumentReader
from tests.fleet.reporting_fleet import ReportingFleet
from tests.fleet.reporting_fleet import started


OLD = 4
NEW = 5


class FleetClock:
    """The clock of a fleet in virtual time, which real waiting advances."""

    def __init__(self, fleet: ReportingFleet) -> None:
        self.fleet = fleet
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()

    def now(self) -> float:
        return self.fleet.now + self.loop.time() - self.began


def rollout_of(fleet: ReportingFleet) -> Rollout:
    state = FleetState(DocumentReader())
    state.fleet = fleet.table
    return Rollout(state, fleet.coordinator, FleetClock(fleet))


def report(fleet: ReportingFleet, versions: dict[str, int]) -> None:
    """Send the reports of routers that have these versions of the configuration."""
    for name, version in versions.items():
        fleet.report(name)
        session = fleet.coordinator.sessions[name]
        session.request = session.request._replace(plan_version=version)


@pytest.mark.parametrize(
    ("versions", "lagging"),
    [
        pytest.param({"a": NEW, "b": NEW, "c": NEW}, set(), id="all have it"),
        pytest.param({"a": OLD, "b": NEW, "c": NEW}, {"a"}, id="one lacks it"),
        pytest.param({"a": NEW + 1, "b": NEW, "c": NEW}, set(), id="a later version"),
        pytest.param({"b": NEW}, {"a", "c"}, id="a new leader hears the first"),
        pytest.param({}, {"a", "b", "c"}, id="a new leader hears nobody"),
    ],
)
def test_a_change_waits_for_the_routers_of_the_fleet(
    versions: dict[str, int], lagging: set[str]
) -> None:
    """Guards against an acknowledgement that the routers learn of from nobody.

    The leader was lost within milliseconds after it had acknowledged a change. Routers
    served the old configuration until the next leader was elected and found.
    """

    async def main() -> None:
        fleet = started()
        fleet.coordinator.start_term(fleet.now)
        report(fleet, versions)
        rollout = rollout_of(fleet)
        assert rollout.lagging_routers(NEW) == lagging
        began = rollout.clock.now()
        assert await rollout.wait(NEW) == lagging
        waited_s = rollout.clock.now() - began
        assert waited_s < MAX_ROLLOUT_WAIT_S + 0.5
        assert bool(lagging) == (waited_s >= MAX_ROLLOUT_WAIT_S)

    asyncio.run(main())


def test_a_wait_ends_with_the_report_of_the_last_router() -> None:
    """Guards against acknowledgements that are late although all routers answered."""

    async def main() -> None:
        fleet = started()
        report(fleet, {"a": OLD, "b": NEW, "c": OLD})
        rollout = rollout_of(fleet)
        waiting = asyncio.create_task(rollout.wait(NEW))
        for name in "ac":
            await asyncio.sleep(0.01)
            assert not waiting.done()
            report(fleet, {name: NEW})
            rollout.on_report()
        assert await asyncio.wait_for(waiting, MAX_ROLLOUT_WAIT_S / 2) == set()

    asyncio.run(main())


@pytest.mark.parametrize("leaves", [False, True])
def test_a_lost_router_is_waited_for_until_its_lease_has_ended(leaves: bool) -> None:
    """Guards against changes that are slow for long after the loss of a host."""

    async def main() -> None:
        fleet = started()
        if leaves:
            fleet.draining.add("a")
            fleet.step()
        fleet.silent.add("a")
        for _ in range(10):
            fleet.step(0.5)
        report(fleet, {"b": NEW, "c": NEW})
        assert rollout_of(fleet).lagging_routers(NEW) == set()

    asyncio.run(main())
