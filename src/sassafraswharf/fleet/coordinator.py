"""The leader's view of routers and upstreams, and its next step."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.fleet.crash_table import CrashTable
from sassafraswharf.fleet.crash_table import checksum
from sassafraswharf.fleet.fleet_table import changed_rows
from sassafraswharf.fleet.fleet_table import free_rows
from sassafraswharf.fleet.key_placement import Candidate
from sassafraswharf.fleet.key_placement import KeyPlacement
from sassafraswharf.fleet.key_weights import KeyWeights
from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.values import NO_INSTANCE
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows
from sassafraswharf.fleet.values import Upstream


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.fleet.fleet_table import FleetTable
    from sassafraswharf.fleet.sync import Suspect
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.sync import UpstreamReport


MAX_CLOCK_RATE_RATIO = 1.05
"""Clocks of two hosts may differ in rate by 5%."""
FIRST_PLACEMENT_DELAY_S = 2.5
"""Time for the upstreams of a new service to announce themselves. The first owner
of a key is free, a later change of owner is not."""
REBALANCE_INTERVAL_S = 0.4
SILENT_UPSTREAM_TIMEOUT_S = 4.0
"""An upstream without heartbeats that holds nothing is removed after this time."""
DEFAULT_RATE_PER_SLOT = 10.0
"""Requests a second that a slot is taken to serve before any were measured."""
MAX_RESTART_EVACUATION_UTILISATION = 0.75
"""Busy share of the other upstreams up to which they take the keys of one whose
router restarts."""
MIN_RELATIVE_SPEED = 0.3
MAX_RELATIVE_SPEED = 3.0


def holds_nothing(report: UpstreamReport) -> bool:
    """Return whether a silent upstream has certainly lost all keys.

    A router that has just started doesn't know what an earlier process granted.
    """
    is_silent = report.silent_s > SILENT_UPSTREAM_TIMEOUT_S
    return is_silent and not report.held and report.is_complete


class LeaseTiming(NamedTuple):
    """Durations of leases in seconds.

    ``lease_s`` counts from the moment at which a router sent its renewal, as
    does each hold of an upstream, which ends no later than the lease.
    ``election_s`` is how long an older leader may have given leases before the
    present one was elected.
    """

    lease_s: float = 4.5
    election_s: float = 1.0

    @property
    def expiry_s(self) -> float:
        """Return the time without a renewal after which a lease has ended."""
        return self.lease_s * MAX_CLOCK_RATE_RATIO

    @property
    def takeover_s(self) -> float:
        """Return the time that a new leader waits for leases it doesn't know."""
        return self.expiry_s + self.election_s


class RouterSession:
    """What the leader heard last from one router."""

    def __init__(self, request: SyncRequest, now: float) -> None:
        """Start with the first request of a process."""
        self.request = request
        self.heard_at = now
        self.first_heard_at = now


class Coordinator:
    """Decides on changes of the fleet; pure, its time is an argument.

    Reports are kept in memory only. What they lead to is a change that counts
    once it is committed, so a new leader goes on from the replicated table and
    waits for the leases that it doesn't know of.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        """Start as a control host that doesn't lead."""
        self.timing = timing
        self.sessions: dict[str, RouterSession] = {}
        self.ended_instances: set[Instance] = set()
        self.leader_since = float("inf")
        self.weights: dict[str, KeyWeights] = {}
        self.first_seen_at: dict[str, float] = {}
        self.rebalanced_at: dict[str, float] = {}
        self.utilisation_by_service: dict[str, dict[str, float]] = {}
        self.evacuation_decisions: dict[Instance, bool] = {}
        self.crash_table = CrashTable()

    def start_term(self, now: float) -> None:
        """Forget what was heard before; reports of routers arrive anew."""
        self.sessions = {}
        self.ended_instances = set()
        self.weights = {}
        self.first_seen_at = {}
        self.crash_table = CrashTable()
        self.leader_since = now

    def on_sync(self, request: SyncRequest, now: float) -> None:
        """Take a router's report, unless it is older than the last one."""
        session = self.sessions.get(request.host)
        if session is None or session.request.boot != request.boot:
            session = self.sessions[request.host] = RouterSession(request, now)
        elif request.sequence <= session.request.sequence:
            return
        session.request = request
        session.heard_at = now
        self.ended_instances.update(request.ended)
        self.crash_table.on_reports(request.crashes, request.answered_suspects, now)
        report = request.upstream
        if report is not None and report.key_loads:
            weights = self.weights.setdefault(report.service, KeyWeights())
            weights.add(report.key_loads)

    def suspects_for(
        self, request: SyncRequest, now: float
    ) -> tuple[Suspect, ...] | None:
        """Return the suspects, ``None`` if the router knows them."""
        suspects = self.crash_table.suspects(now)
        known = checksum(suspects) == request.suspects_checksum
        return None if known else suspects

    def live_sessions(self, now: float) -> list[RouterSession]:
        """Return the sessions whose leases may be in force."""
        limit = now - self.timing.expiry_s
        return [one for one in self.sessions.values() if one.heard_at >= limit]

    def next_change(
        self, table: FleetTable, keyed: Iterable[str], now: float
    ) -> FleetChange | None:
        """Return the next change to commit, ``None`` if there is nothing to do."""
        reports = self._reported_upstreams(table, now)
        joined = [
            upstream
            for instance, upstream in reports.items()
            if table.upstreams.get(instance) != upstream
        ]
        removed = [
            one for one in table.upstreams if self._is_removable(one, table, now)
        ]
        if joined or removed:
            freed = self._free_rows_of(table, set(removed))
            return FleetChange(
                tuple(joined), tuple(removed), tuple(freed), "membership"
            )
        changed = [
            ServiceRows(service, rows)
            for service in keyed
            if (planned := self._next_rows(service, table, now)) is not None
            and (rows := changed_rows(table.rows.get(service, ()), planned))
        ]
        return FleetChange((), (), tuple(changed), "keys") if changed else None

    def _reported_upstreams(
        self, table: FleetTable, now: float
    ) -> dict[Instance, Upstream]:
        """Return the upstreams that routers report as present.

        One that drains goes on draining, also if its router was restarted and
        has not heard of it.
        """
        found: dict[Instance, Upstream] = {}
        for session in self.live_sessions(now):
            request, report = session.request, session.request.upstream
            if report is None or report.instance in self.ended_instances:
                continue
            if holds_nothing(report):
                continue
            known = table.upstreams.get(report.instance)
            found[report.instance] = Upstream(
                report.instance,
                report.service,
                request.host,
                request.address,
                request.zone,
                report.slots,
                report.draining or (known is not None and known.draining),
                report.restarting,
            )
        return found

    def _is_removable(self, instance: Instance, table: FleetTable, now: float) -> bool:
        """Return whether an upstream certainly holds no keys any more."""
        if instance in self.ended_instances:
            return True
        upstream = table.upstreams[instance]
        session = self.sessions.get(upstream.host)
        if session is None:
            return now - self.leader_since > self.timing.takeover_s
        if now - session.heard_at > self.timing.expiry_s:
            return True
        report = session.request.upstream
        if report is not None and report.instance.started_ms > instance.started_ms:
            # Both lives have the address beside the same router, so the earlier
            # one must have ended before the later one could listen there.
            return True
        if report is None or report.instance != instance:
            # The router has restarted and has not heard of this life. Its last
            # hold ends within the lease that the earlier process had.
            return now - session.first_heard_at > self.timing.takeover_s
        return holds_nothing(report)

    def _free_rows_of(
        self, table: FleetTable, removed: set[Instance]
    ) -> list[ServiceRows]:
        """Free the keys of removed upstreams."""
        changed = []
        for service, rows in table.rows.items():
            if not any(row.owner in removed for row in rows):
                continue
            freed = tuple(
                KeyRow(row.first, row.last, NO_INSTANCE, 0)
                if row.owner in removed
                else row
                for row in rows
            )
            changed.append(ServiceRows(service, changed_rows(rows, freed)))
        return changed

    def _next_rows(
        self, service: str, table: FleetTable, now: float
    ) -> tuple[KeyRow, ...] | None:
        """Return the new rows of a service, ``None`` if they stay as they are."""
        upstreams = table.by_service.get(service, [])
        if not upstreams:
            return None
        announced_at = self.first_seen_at.setdefault(service, now)
        rows = table.rows.get(service)
        if rows is None:
            if now - announced_at < FIRST_PLACEMENT_DELAY_S:
                return None
            rows = free_rows()
        weights = self.weights.setdefault(service, KeyWeights())
        weights.refresh(now)
        settled = tuple(self._complete_move(row, table) for row in rows)
        placement = KeyPlacement(settled, self._candidates(upstreams, now), weights)
        changed = settled != rows
        changed |= placement.assign_free_rows()
        changed |= placement.evacuate(self._upstreams_to_evacuate(upstreams, placement))
        if now - self.rebalanced_at.get(service, 0.0) > REBALANCE_INTERVAL_S:
            owning = {row.owner for row in placement.rows}
            if placement.fill_new_upstream(owning) or placement.rebalance():
                self.rebalanced_at[service] = now
                changed = True
        if not changed:
            return None
        self.utilisation_by_service[service] = placement.utilisation_by_upstream()
        return placement.result()

    def _upstreams_to_evacuate(
        self, upstreams: list[Upstream], placement: KeyPlacement
    ) -> set[Instance]:
        """Return the upstreams whose keys are to move.

        The keys of an upstream whose router restarts move only if the others have
        room for them. Otherwise waiting for the restart costs less than the queues
        of the others.
        """
        has_room = placement.service_utilisation() < MAX_RESTART_EVACUATION_UTILISATION
        for one in upstreams:
            if one.restarting:
                # Decided once: keys that are asked for late are not released
                # before the router ends.
                self.evacuation_decisions.setdefault(one.instance, has_room)
            else:
                self.evacuation_decisions.pop(one.instance, None)
        return {
            one.instance
            for one in upstreams
            if one.draining or self.evacuation_decisions.get(one.instance, False)
        }

    def _complete_move(self, row: KeyRow, table: FleetTable) -> KeyRow:
        """Complete a move whose owner has released the keys.

        A row that its owner refuses for its fence gets a new fence.
        """
        upstream = table.upstreams.get(row.owner)
        session = self.sessions.get(upstream.host) if upstream else None
        if session is None:
            return row
        report = session.request.upstream
        if report is None or report.instance != row.owner:
            return row
        if not row.is_moving:
            held = HeldRow(row.first, row.last, row.fence)
            return row._replace(fence=0) if held in report.refused else row
        token = self._handover_token(row, report, session.request.fleet_version)
        if token is None:
            return row
        target = table.upstreams.get(row.target)
        if target is None or not target.takes_work:
            return KeyRow(row.first, row.last, NO_INSTANCE, 0)
        return KeyRow(row.first, row.last, row.target, 0, token)

    def _handover_token(
        self, row: KeyRow, report: UpstreamReport, fleet_version: int
    ) -> str | None:
        """Return the handover token of a released row, ``None`` if it is held.

        A report counts only if its router knew that the keys are to be released.
        Before, it may have held nothing and have granted them later.
        """
        if fleet_version < row.release_requested_at_index:
            return None
        if any(
            held.first <= row.last and held.last >= row.first for held in report.held
        ):
            return None
        for released in report.released:
            if released.first <= row.first and row.last <= released.last:
                return released.handover_token
        # Without a report of the release everything granted must have run out.
        return "" if report.is_complete else None

    def _candidates(self, upstreams: list[Upstream], now: float) -> list[Candidate]:
        """Return the upstreams that may own keys, with measured speeds."""
        reports = {}
        for session in self.live_sessions(now):
            report = session.request.upstream
            if report is not None:
                reports[report.instance] = report
        present = [
            one for one in upstreams if one.takes_work and one.instance in reports
        ]
        times = [
            reports[one.instance].service_s
            for one in present
            if reports[one.instance].service_s > 0
        ]
        mean_s = sum(times) / len(times) if times else 0.0
        candidates = []
        for one in present:
            report = reports[one.instance]
            speed = mean_s / report.service_s if report.service_s > 0 else 1.0
            speed = min(MAX_RELATIVE_SPEED, max(MIN_RELATIVE_SPEED, speed))
            per_slot = speed / mean_s if mean_s > 0 else DEFAULT_RATE_PER_SLOT
            candidates.append(Candidate(one.instance, max(one.slots, 1) * per_slot))
        return candidates
