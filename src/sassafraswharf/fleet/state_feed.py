"""Sends the replicated state from the leader to routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.fleet.part_budget import PartBudget
from sassafraswharf.fleet.part_sender import PartSender
from sassafraswharf.fleet.transfer import PART_BYTES
from sassafraswharf.fleet.urgent_updates import UrgentUpdates
from sassafraswharf.observability.traffic import Traffic


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.fleet.coordinator import RouterSession
    from sassafraswharf.fleet.fleet_state import FleetState
    from sassafraswharf.fleet.sync import SyncReply
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.transfer import TransferPart
    from sassafraswharf.observability.decision_log import DecisionLog

    LiveSessions = Callable[[float], list[RouterSession]]


LAG_LOG_INTERVAL_S: Final = 1.0
LONG_REPLY_BYTES: Final = 2 * PART_BYTES
"""Replies to routers above this size are logged."""


class StateFeed:
    """Sends the configuration and the fleet to routers, one part in each reply."""

    def __init__(self, state: FleetState, log: DecisionLog, zone: str) -> None:
        """Serve ``state`` from a host in this availability zone."""
        self.traffic = Traffic(zone)
        self.state = state
        self.log = log
        self.plan_sender = PartSender(state.encoded_plan_since)
        self.fleet_sender = PartSender(state.encoded_fleet_since)
        self.budget = PartBudget()
        self.urgent = UrgentUpdates()
        self.lag_logged_at = 0.0

    def clear(self) -> None:
        """Drop the transfers of an earlier term."""
        self.plan_sender.clear()
        self.fleet_sender.clear()
        self.urgent.clear()

    def has_urgent_update(self, report: SyncRequest) -> bool:
        """Return whether to reply to a report before its hold time is over."""
        if report.plan_version < self.state.plan.version:
            return True
        return self.urgent.is_urgent_for(report, self.state.fleet.version)

    def on_report(self, report: SyncRequest) -> None:
        """Treat a report as the acknowledgement of the parts sent before."""
        self.budget.on_report(report.host)

    def on_reply(
        self, report: SyncRequest, reply: SyncReply, received: int, sent: int
    ) -> None:
        """Count the bytes of a report and of its reply; log a long reply."""
        zone = report.zone
        if sent > LONG_REPLY_BYTES:
            self.log.record(
                "long_reply",
                router=report.host,
                bytes=sent,
                plan=report.plan_version,
                fleet=report.fleet_version,
            )
        self.traffic.flow("report", zone).on_received(received)
        for kind, part in (("plan", reply.plan), ("fleet", reply.fleet)):
            if part is not None:
                self.traffic.flow(kind, zone).on_sent(len(part.data))
                sent -= len(part.data)
        self.traffic.flow("report", zone).on_sent(sent)

    def plan_part(self, report: SyncRequest, now: float) -> TransferPart | None:
        """Return the next part of the configuration that a router lacks."""
        newest = self.state.plan.version
        if not report.takes_plan or report.plan_version >= newest:
            return None
        return self.within_budget(
            report,
            now,
            lambda: self.plan_sender.part_for(
                report.plan_version, newest, report.plan_cursor, report.part_bytes
            ),
        )

    def fleet_part(self, report: SyncRequest, now: float) -> TransferPart | None:
        """Return the next part of the fleet's changes that a router lacks."""
        newest = self.state.fleet.version
        if report.fleet_version >= newest:
            return None
        return self.within_budget(
            report,
            now,
            lambda: self.fleet_sender.part_for(
                report.fleet_version, newest, report.fleet_cursor, report.part_bytes
            ),
        )

    def within_budget(
        self, report: SyncRequest, now: float, next_part: Callable[[], TransferPart]
    ) -> TransferPart | None:
        """Return the next part, ``None`` if too many bytes are in flight."""
        if not self.budget.has_room(now):
            return None
        part = next_part()
        self.budget.on_sent(report.host, len(part.data), now)
        return part

    def log_lag(self, live_sessions: LiveSessions, now: float) -> None:
        """Log how many routers have an outdated configuration, once a second.

        ``live_sessions`` is called only then, since it iterates over all routers.
        """
        if now - self.lag_logged_at < LAG_LOG_INTERVAL_S:
            return
        self.lag_logged_at = now
        newest = self.state.plan.version
        sessions = live_sessions(now)
        behind = [one for one in sessions if one.request.plan_version < newest]
        if not behind:
            return
        oldest = min(behind, key=lambda one: one.request.plan_version)
        self.log.record(
            "routers_behind",
            routers=len(behind),
            of=len(sessions),
            version=newest,
            oldest=oldest.request.plan_version,
            oldest_host=oldest.request.host,
            oldest_heard_s=round(now - oldest.heard_at, 2),
        )
