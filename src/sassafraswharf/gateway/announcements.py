"""Handles heartbeats and leave announcements of the local upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.gateway.key_holds import is_newer


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.gateway.heartbeat import Grant
    from sassafraswharf.gateway.heartbeat import Heartbeat
    from sassafraswharf.gateway.hold_delivery import HoldDelivery
    from sassafraswharf.gateway.local_upstream import LocalUpstream
    from sassafraswharf.observability.decision_log import DecisionLog


LEAVE_TIMEOUT_S: Final = 0.8
"""Below the second for which an upstream waits for a response."""


class Announcements:
    """Applies announcements of the upstream, and its state in the fleet table."""

    def __init__(
        self,
        local: LocalUpstream,
        delivery: HoldDelivery,
        view: FleetView,
        report_now: Callable[[], None],
        service: Callable[[], str],
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Handle ``local``; ``service`` returns the service in the settings."""
        self.local = local
        self.delivery = delivery
        self.view = view
        self.report_now = report_now
        self.service = service
        self.clock = clock
        self.log = log

    def follow_fleet(self, host: str) -> None:
        """Apply the state of this host's upstream in the fleet table.

        After a restart of the router the upstream still runs and holds its keys, so
        requests are sent to it before its next heartbeat; it rejects those for keys
        that it doesn't hold. The fleet table also keeps a drain that an earlier
        process of the router may have acknowledged.
        """
        local = self.local
        upstreams = self.view.fleet.upstreams
        now = self.clock.now()
        if local.beat is not None:
            known = upstreams.get(local.beat.instance)
            if known is not None and known.draining:
                local.on_fleet_drain(known.instance, now)
        elif not local.ended_instances:
            here = [one for one in upstreams.values() if one.host == host]
            for upstream in here[:1]:
                local.adopt(upstream, now)

    async def on_heartbeat(self, beat: Heartbeat) -> Grant | None:
        """Apply a heartbeat; return the grant for the response, if there is one.

        A heartbeat of an earlier incarnation or sequence number is ignored and gets
        no grant.
        """
        now = self.clock.now()
        local = self.local
        refused = self.ignored_event(beat)
        if refused:
            self.log.record(refused, upstream=beat.instance.name)
            return None
        known = local.beat
        local.on_heartbeat(beat, now)
        released = local.holds.on_heartbeat(beat, now)
        is_new = known is None or known.instance != beat.instance
        if is_new or released or known is None or known.draining != beat.draining:
            self.log.record(
                "upstream_state",
                upstream=beat.instance.name,
                draining=beat.draining,
                released=len(beat.released),
            )
            self.report_now()
        return await self.delivery.answer(beat, now)

    def ignored_event(self, beat: Heartbeat) -> str:
        """Return the event to log if a heartbeat must be ignored, else ""."""
        if not self.is_from_local_upstream(beat):
            return "heartbeat_of_a_stranger"
        if not is_newer(beat, self.local.beat):
            return "heartbeat_ignored"
        if beat.instance in self.local.ended_instances:
            return "heartbeat_of_ended_life"
        return ""

    def is_from_local_upstream(self, beat: Heartbeat) -> bool:
        """Return whether address and service match the upstream of this host."""
        if beat.address != self.local.pool.address:
            return False
        routes = self.view.routes
        return beat.service == self.service() or (
            routes is not None and beat.service in routes.services
        )

    async def on_leave(self, instance: Instance) -> bool:
        """Apply a leave announcement; return whether the fleet table has recorded it.

        The upstream announces it once. If it were acknowledged before the fleet
        recorded it, a restart of this process would lose it, and the next process
        would send requests to the upstream.
        """
        self.log.record("upstream_leaves", upstream=instance.name)
        until = self.clock.now() + LEAVE_TIMEOUT_S
        while (left_s := until - self.clock.now()) > 0:
            # Repeated because the router may have discovered the upstream only now.
            self.local.on_leave(instance, self.clock.now())
            if self.is_leave_known(instance):
                return True
            self.report_now()
            await self.view.changed.wait(left_s)
        self.log.record("leave_unconfirmed", upstream=instance.name)
        return False

    def is_leave_known(self, instance: Instance) -> bool:
        """Return whether no router process will send new requests to the upstream.

        One that is neither in the fleet table nor known to have ended may still run:
        the table loses an upstream whose router was down for long. It joins again
        with its next heartbeat, and then its leave can be recorded.
        """
        fleet = self.view.fleet
        if not fleet.version:
            return False
        known = [one for one in fleet.upstreams if is_same_incarnation(one, instance)]
        if known:
            return all(fleet.upstreams[one].draining for one in known)
        return self.has_ended(instance)

    def has_ended(self, instance: Instance) -> bool:
        """Return whether an upstream has ended, as far as this process has seen.

        Another one that runs at its address shows that, too.
        """
        ended = self.local.ended_instances
        if any(is_same_incarnation(one, instance) for one in ended):
            return True
        beat = self.local.beat
        return beat is not None and not is_same_incarnation(beat.instance, instance)


def is_same_incarnation(known: Instance, named: Instance) -> bool:
    """Return whether both match; a ``named.started_ms`` of 0 matches any start."""
    return known.name == named.name and named.started_ms in {0, known.started_ms}
