"""Tells when all routers that answer have a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.router.change_signal import ChangeSignal


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.coordinator import Coordinator
    from sassafraswharf.fleet.fleet_state import FleetState


MAX_ROLLOUT_WAIT_S: Final = 0.7
"""An operator waits a second for its answer. Routers that are frozen or cut off must
not hold up a change."""


class Rollout:
    """Waits for the reports of routers that have a configuration.

    The leader may be lost right after it has acknowledged a change. The routers then
    learn of it from the next leader, after an election and their search for it. So a
    change is acknowledged once they have it.
    """

    def __init__(
        self, state: FleetState, coordinator: Coordinator, clock: Clock
    ) -> None:
        """Watch the routers of a fleet."""
        self.state = state
        self.coordinator = coordinator
        self.clock = clock
        self.reported = ChangeSignal()

    def on_report(self) -> None:
        """Check again after a router's report was stored."""
        self.reported.notify()

    def lagging_routers(self, version: int) -> set[str]:
        """Return the hosts whose routers may serve an older configuration.

        A new leader has no reports yet, so the hosts of the fleet table count as well.
        """
        sessions = self.coordinator.sessions
        lost = self.coordinator.renewal.lost_upstreams
        upstreams = self.state.fleet.upstreams.values()
        expected = {one.host for one in upstreams if one.instance not in lost}
        live = self.coordinator.live_sessions(self.clock.now())
        expected.update(one.request.host for one in live)
        return {
            host
            for host in expected
            if host not in sessions or sessions[host].request.plan_version < version
        }

    async def wait(self, version: int) -> set[str]:
        """Wait until all routers have a version; return those that lack it.

        It ends after ``MAX_ROLLOUT_WAIT_S`` at the latest.
        """
        until = self.clock.now() + MAX_ROLLOUT_WAIT_S
        while lagging := self.lagging_routers(version):
            left_s = until - self.clock.now()
            if left_s <= 0 or not await self.reported.wait(left_s):
                return lagging
        return set()
