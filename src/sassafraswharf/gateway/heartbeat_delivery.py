"""Grants holds in the responses to heartbeats."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.fleet.values import KeyRow
    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.gateway.heartbeat import Grant
    from sassafraswharf.gateway.heartbeat import Heartbeat
    from sassafraswharf.gateway.local_upstream import LocalUpstream


MAX_ANSWER_DELAY_S: Final = 0.7
"""Below the second for which an upstream waits for the response to a heartbeat."""


class HeartbeatDelivery:
    """Responds to each heartbeat with all rows that the upstream may hold.

    The upstream reports releases in its heartbeats. While keys are moving to it, the
    response is delayed up to the timeout of the upstream, which would otherwise get
    the keys only with its next heartbeat.
    """

    def __init__(
        self,
        local: LocalUpstream,
        view: FleetView,
        lease_until: Callable[[], float],
        accepts_keys: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Serve ``local``; responses wait for keys only while ``accepts_keys()``."""
        self.local = local
        self.holds = local.holds
        self.view = view
        self.lease_until = lease_until
        self.accepts_keys = accepts_keys
        self.clock = clock
        self.outcomes: Counter[str] = Counter()

    def start(self) -> None:
        """Do nothing: the upstream sends heartbeats on its own."""

    async def stop(self) -> None:
        """Do nothing: there is no background task."""

    def refused_rows(self) -> tuple[HeldRow, ...]:
        """Return nothing: an upstream cannot reject a grant in a response."""
        return ()

    async def answer(self, beat: Heartbeat, arrived_at: float) -> Grant | None:
        """Return the rows that the upstream may hold, ``None`` for no grant."""
        fleet = self.view.fleet
        until = arrived_at + MAX_ANSWER_DELAY_S
        while self.awaits_keys(beat) and self.clock.now() < until:
            await self.view.changed.wait(until - self.clock.now())
        if beat.instance not in fleet.upstreams or beat.service not in fleet.rows:
            return None
        latest = self.local.beat
        if latest is None or latest.sequence != beat.sequence:
            return None
        rows = fleet.rows_of(beat.instance)
        return self.holds.grant(rows, arrived_at, self.lease_until())

    def awaits_keys(self, beat: Heartbeat) -> bool:
        """Return whether keys are moving to the upstream and none away from it."""
        rows = self.view.fleet.rows.get(beat.service, ())
        if beat.draining or not self.accepts_keys() or not rows:
            return False
        if not any(row.owner == beat.instance for row in rows):
            return True
        if any(row.is_moving and row.owner == beat.instance for row in rows):
            return False
        if any(row.owner == beat.instance and not self.is_granted(row) for row in rows):
            return False
        return any(row.target == beat.instance for row in rows)

    def is_granted(self, row: KeyRow) -> bool:
        """Return whether a row is part of the last grant."""
        return any(
            one.first <= row.first and row.last <= one.last and one.fence == row.fence
            for one in self.holds.routable_until
        )
