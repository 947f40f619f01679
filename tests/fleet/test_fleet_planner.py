"""Tests that changes of the fleet are proposed one after another."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import cast

import pytest

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.fleet.fleet_planner import FleetPlanner
from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.state_feed import StateFeed
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from tests.fleet.reporting_fleet import ReportingFleet


if TYPE_CHECKING:
    from sassafraswharf.consensus.group_task import GroupTask


TIMEOUT = Err(Failure(ResultCode.PROPOSAL_TIMEOUT, "not committed, outcome unknown"))


class StalledGroup:
    """A group whose disks are stalled: entries are appended and not yet committed."""

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.commands: list[bytes] = []
        self.applied_index = 0
        self.outcome: Result[bytes, Failure] = TIMEOUT

    @property
    def last_index(self) -> int:
        return len(self.commands)

    async def propose(
        self, command: bytes, _timeout_s: float
    ) -> Result[bytes, Failure]:
        self.commands.append(command)
        if isinstance(self.outcome, Ok):
            self.commit()
        return self.outcome

    def commit(self) -> None:
        while self.applied_index < self.last_index:
            self.applied_index += 1
            command = self.commands[self.applied_index - 1]
            self.state.apply(self.applied_index, command)


def planner_with(group: StalledGroup, fleet: ReportingFleet) -> FleetPlanner:
    log = DecisionLog("h", -1)
    feed = StateFeed(group.state, log, "a")
    clock = FixedClock(fleet.now)
    return FleetPlanner(
        group.state, fleet.coordinator, cast("GroupTask", group), feed, clock, log
    )


class FixedClock:
    """A clock that stands still."""

    def __init__(self, time: float) -> None:
        self.time = time

    def now(self) -> float:
        return self.time


@pytest.mark.parametrize("is_committed", [False, True])
def test_nothing_is_planned_while_an_earlier_change_may_be_committed(
    is_committed: bool,
) -> None:
    """Guards against two owners of keys after a commit that took too long.

    A proposal that timed out is committed later. A second one that was based on the
    table from before it would assign the same keys once more.
    """

    async def main() -> None:
        fleet = ReportingFleet("ab")
        for name in "ab":
            fleet.report(name)
        group = StalledGroup(FleetState(DocumentReader()))
        planner = planner_with(group, fleet)
        await planner.commit_next_change()
        assert len(group.commands) == 1
        if is_committed:
            group.commit()
            group.outcome = Ok(b"")
            fleet.ended["a"] = (fleet.instances["a"],)
            fleet.report("a")
        await planner.commit_next_change()
        assert len(group.commands) == (2 if is_committed else 1)

    asyncio.run(main())


def test_a_new_term_plans_again() -> None:
    """Guards against a leader that waits for an entry of an earlier term for good."""

    async def main() -> None:
        fleet = ReportingFleet("ab")
        group = StalledGroup(FleetState(DocumentReader()))
        planner = planner_with(group, fleet)
        fleet.report("a")
        await planner.commit_next_change()
        planner.on_role_change()
        await planner.commit_next_change()
        assert len(group.commands) == 2

    asyncio.run(main())
