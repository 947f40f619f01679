"""Commits the coordinator's changes of the fleet while this host leads."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final

from result import Err

from sassafraswharf.fleet.fleet_state import encode_fleet_change


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.group_task import GroupTask
    from sassafraswharf.fleet.coordinator import Coordinator
    from sassafraswharf.fleet.fleet_state import FleetState
    from sassafraswharf.fleet.state_feed import StateFeed
    from sassafraswharf.observability.decision_log import DecisionLog


PLANNING_INTERVAL_S: Final = 0.1
PROPOSAL_TIMEOUT_S: Final = 3.0


class FleetPlanner:
    """Proposes one change at a time and tells the routers that it concerns.

    ``on_change`` is called after each committed change.
    """

    def __init__(
        self,
        state: FleetState,
        coordinator: Coordinator,
        group: GroupTask,
        feed: StateFeed,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Plan for the fleet of a group; nothing runs before ``run``."""
        self.state = state
        self.coordinator = coordinator
        self.group = group
        self.feed = feed
        self.clock = clock
        self.log = log
        self.due = asyncio.Event()
        self.unresolved_index = 0
        self.on_change: Callable[[], None] = self.due.set

    def on_role_change(self) -> None:
        """Start again in a new term, whose first commit resolves earlier entries."""
        self.unresolved_index = 0
        self.due.set()

    async def run(self) -> None:
        """Commit the coordinator's changes one at a time while this host leads."""
        while True:
            await asyncio.sleep(PLANNING_INTERVAL_S / 4)
            try:
                async with asyncio.timeout(PLANNING_INTERVAL_S):
                    await self.due.wait()
            except TimeoutError:
                pass
            self.due.clear()
            if self.group.is_current_leader():
                self.feed.log_lag(self.coordinator.live_sessions, self.clock.now())
                await self.commit_next_change()

    async def commit_next_change(self) -> None:
        """Commit the next change of the fleet, if there is one.

        While an earlier one may still be committed, the table that the next change
        would be based on isn't known. Both could give the same keys to two upstreams.
        """
        if self.group.applied_index < self.unresolved_index:
            return
        keyed = [
            service.name
            for service in self.state.plan.plan.services
            if service.is_keyed
        ]
        change = self.coordinator.next_change(self.state.fleet, keyed, self.clock.now())
        if change is None:
            return
        done = await self.group.propose(encode_fleet_change(change), PROPOSAL_TIMEOUT_S)
        if isinstance(done, Err):
            self.log.record("fleet_change_failed", why=str(done.err_value))
            self.unresolved_index = self.group.last_index
            return
        self.feed.urgent.on_change(change, self.state.fleet.version)
        self.log.record(
            "fleet_change",
            reason=change.reason,
            version=self.state.fleet.version,
            joined=[one.instance.name for one in change.upstreams],
            left=[one.name for one in change.removed],
            changed_rows={one.service: len(one.rows) for one in change.rows},
            rows={
                one.service: len(self.state.fleet.rows[one.service])
                for one in change.rows
            },
            moving={
                one.service: sum(row.is_moving for row in one.rows)
                for one in change.rows
            },
            busy={
                one.service: self.coordinator.utilisation_by_service.get(
                    one.service, {}
                )
                for one in change.rows
            },
        )
        self.on_change()
        self.due.set()
