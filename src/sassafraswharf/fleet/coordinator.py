"""Plans changes of membership and key ownership from the routers' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.fleet.crash_table import CrashTable
from sassafraswharf.fleet.crash_table import checksum
from sassafraswharf.fleet.fleet_table import changed_rows
from sassafraswharf.fleet.fleet_table import free_rows
from sassafraswharf.fleet.fleet_table import freed_rows
from sassafraswharf.fleet.key_placement import Candidate
from sassafraswharf.fleet.key_placement import KeyPlacement
from sassafraswharf.fleet.key_weights import KeyWeights
from sassafraswharf.fleet.lease_renewal import LeaseRenewal
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
    from sassafraswharf.fleet.lease_timing import LeaseTiming
    from sassafraswharf.fleet.sync import Suspect
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.sync import UpstreamReport


FIRST_PLACEMENT_DELAY_S = 2.5
"""Wait for the upstreams of a new service to announce themselves before keys are
assigned: a first assignment costs nothing, a later change of owner does."""
REBALANCE_INTERVAL_S = 0.4
SILENT_UPSTREAM_TIMEOUT_S = 4.0
"""An upstream that holds no keys and sends no heartbeats is removed after this
time."""
LEAVE_RETENTION_S = 120.0
"""An upstream that leaves may go on for long beside a router that is down or doesn't
hear it. Its record is kept as long, so that it gets no work when it is heard again."""
DEFAULT_RATE_PER_SLOT = 10.0
"""Requests per second that one slot is assumed to serve until a rate is
measured."""
MAX_RESTART_EVACUATION_UTILISATION = 0.75
"""Keys of an upstream whose router restarts move to the other upstreams only while
their utilisation is below this."""
MIN_RELATIVE_SPEED = 0.3
MAX_RELATIVE_SPEED = 3.0


def holds_nothing(report: UpstreamReport) -> bool:
    """Return whether a silent upstream is known to hold no keys.

    A router that has just started doesn't know the grants of its earlier process,
    so its report is not complete and doesn't count. The upstream may return after
    the report and be granted the rows that it owns in the table of its router.
    """
    is_silent = report.silent_s > SILENT_UPSTREAM_TIMEOUT_S
    return is_silent and not report.held and report.is_complete


class RouterSession:
    """The latest report of one router process and when it arrived."""

    def __init__(self, request: SyncRequest, now: float) -> None:
        """Start with the first request of a process."""
        self.request = request
        self.heard_at = now
        self.first_heard_at = now


class Coordinator:
    """Decides on changes of the fleet, without I/O; the time is an argument.

    Reports are kept in memory only. The changes derived from them take effect when
    they are committed, so a new leader continues from the replicated table and
    waits until leases that it doesn't know of have expired.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        """Start as a follower."""
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
        self.renewal = LeaseRenewal()

    def start_term(self, now: float, revocation_version: int = 0) -> None:
        """Discard the reports of earlier terms; routers send new ones.

        Earlier leaders took keys from routers without their consent up to the table
        of ``revocation_version``.
        """
        self.sessions = {}
        self.renewal = LeaseRenewal(revocation_version)
        self.ended_instances = set()
        self.weights = {}
        self.first_seen_at = {}
        self.crash_table = CrashTable()
        self.leader_since = now

    def on_sync(self, request: SyncRequest, now: float) -> None:
        """Store a router's report, unless it is older than the stored one."""
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
        """Return the suspects, ``None`` if the router has the current list."""
        suspects = self.crash_table.suspects(now)
        known = checksum(suspects) == request.suspects_checksum
        return None if known else suspects

    def live_sessions(self, now: float) -> list[RouterSession]:
        """Return the sessions whose leases may not have expired."""
        limit = now - self.timing.expiry_s
        return [one for one in self.sessions.values() if one.heard_at >= limit]

    def next_change(
        self, table: FleetTable, keyed: Iterable[str], now: float
    ) -> FleetChange | None:
        """Return the next change to commit, ``None`` if there is nothing to do."""
        self._record_lost_upstreams(table, now)
        reports = self._reported_upstreams(table, now)
        removed = [
            one for one in table.upstreams if self._is_removable(one, table, now)
        ]
        joined = [
            upstream
            for instance, upstream in reports.items()
            if table.upstreams.get(instance) != upstream and instance not in removed
        ]
        freed = freed_rows(table, {*removed, *self.renewal.lost_upstreams})
        if joined or removed or freed:
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

        A draining upstream stays draining, even if its router was restarted and
        reports it as ready.
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

    def _record_lost_upstreams(self, table: FleetTable, now: float) -> None:
        """Record the upstreams whose routers have lost their leases."""
        self.renewal.keep_only(table.upstreams)
        for upstream in table.upstreams.values():
            if not self._may_have_lease(upstream, now):
                self.renewal.on_lost(upstream, table, now)
            elif upstream.draining and not table.rows_of(upstream.instance):
                self.renewal.on_returned(upstream.instance)

    def _may_have_lease(self, upstream: Upstream, now: float) -> bool:
        """Return whether the router of an upstream may still have a lease."""
        session = self.sessions.get(upstream.host)
        if session is None:
            return now - self.leader_since <= self.timing.takeover_s
        return now - session.heard_at <= self.timing.expiry_s

    def _is_removable(self, instance: Instance, table: FleetTable, now: float) -> bool:
        """Return whether an upstream can neither hold nor be granted keys any more.

        While its router is live, a report doesn't prove that: the router may grant
        the keys until it learns of the removal. So the rows of a lapsed upstream are
        moved first, which the router confirms.
        """
        if instance in self.ended_instances:
            return True
        upstream = table.upstreams[instance]
        retention_s = LEAVE_RETENTION_S if upstream.draining else 0.0
        lost_at = self.renewal.lost_upstreams.get(instance)
        if lost_at is not None:
            return now - lost_at >= retention_s
        session = self.sessions.get(upstream.host)
        if session is None:
            return False
        report = session.request.upstream
        if report is not None and report.instance.started_ms > instance.started_ms:
            # Both incarnations use the same address beside the router, so the
            # earlier one must have exited before the later one could bind it.
            return True
        return self._has_lapsed(instance, session, now, retention_s) and not any(
            instance in {row.owner, row.target}
            for row in table.rows.get(upstream.service, ())
        )

    def _has_lapsed(
        self,
        instance: Instance,
        session: RouterSession,
        now: float,
        retention_s: float = 0.0,
    ) -> bool:
        """Return whether an upstream held no keys when its router sent its report.

        It must have been silent for ``retention_s`` or longer.
        """
        report = session.request.upstream
        if report is None or report.instance != instance:
            # The router has restarted and doesn't know this incarnation. Its last
            # hold expires within the lease of the earlier router process.
            heard_s = now - session.first_heard_at
            return heard_s > max(self.timing.takeover_s, retention_s)
        return holds_nothing(report) and report.silent_s >= retention_s

    def _has_lapsed_at(self, upstream: Upstream, now: float) -> bool:
        """Return whether the router of an upstream reports it as lapsed."""
        session = self.sessions.get(upstream.host)
        return session is not None and self._has_lapsed(upstream.instance, session, now)

    def _next_rows(
        self, service: str, table: FleetTable, now: float
    ) -> tuple[KeyRow, ...] | None:
        """Return the new rows of a service, ``None`` if nothing changes."""
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
        settled = tuple(self._complete_move(row, table, now) for row in rows)
        placement = KeyPlacement(settled, self._candidates(upstreams, now), weights)
        changed = settled != rows
        changed |= placement.assign_free_rows()
        leaving = self._upstreams_to_evacuate(upstreams, placement, now)
        changed |= placement.evacuate(leaving)
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
        self, upstreams: list[Upstream], placement: KeyPlacement, now: float
    ) -> set[Instance]:
        """Return the upstreams whose keys must move to others.

        These are draining or lapsed ones. The keys of an upstream whose router
        restarts move only if the others have spare capacity. Otherwise waiting for
        the restart costs less than queueing at the others.
        """
        has_room = placement.service_utilisation() < MAX_RESTART_EVACUATION_UTILISATION
        for one in upstreams:
            if one.restarting:
                # Decided once per restart: a release that is requested late is not
                # completed before the router exits.
                self.evacuation_decisions.setdefault(one.instance, has_room)
            else:
                self.evacuation_decisions.pop(one.instance, None)
        return {
            one.instance
            for one in upstreams
            if one.draining
            or self.evacuation_decisions.get(one.instance, False)
            or self._has_lapsed_at(one, now)
        }

    def _complete_move(self, row: KeyRow, table: FleetTable, now: float) -> KeyRow:
        """Return a row with its new owner if the previous one has released the keys.

        A row whose fence the owner refuses as outdated gets a new fence.
        """
        upstream = table.upstreams.get(row.owner)
        session = self.sessions.get(upstream.host) if upstream else None
        if session is None:
            return row
        report = session.request.upstream
        if report is not None and report.instance != row.owner:
            report = None
        if not row.is_moving:
            refused = report.refused if report is not None else ()
            held = HeldRow(row.first, row.last, row.fence)
            return row._replace(fence=0) if held in refused else row
        if session.request.fleet_version < row.release_requested_at_index:
            # A router that held nothing before it knew of the move could still
            # grant the keys afterwards.
            return row
        if report is not None:
            token = self._handover_token(row, report)
        else:
            token = "" if self._has_lapsed(row.owner, session, now) else None
        if token is None:
            return row
        target = table.upstreams.get(row.target)
        if target is None or not target.takes_work or self._has_lapsed_at(target, now):
            return KeyRow(row.first, row.last, NO_INSTANCE, 0)
        return KeyRow(row.first, row.last, row.target, 0, token)

    def _handover_token(self, row: KeyRow, report: UpstreamReport) -> str | None:
        """Return the handover token of a released row, ``None`` if it is held.

        The router must have known of the requested release when it sent the report.
        """
        if any(
            held.first <= row.last and held.last >= row.first for held in report.held
        ):
            return None
        for released in report.released:
            if released.first <= row.first and row.last <= released.last:
                return released.handover_token
        # Without a report of the release all grants must have expired.
        return "" if report.is_complete else None

    def _candidates(self, upstreams: list[Upstream], now: float) -> list[Candidate]:
        """Return the upstreams that may own keys, with their measured capacity."""
        reports = {}
        for session in self.live_sessions(now):
            report = session.request.upstream
            if report is not None and not holds_nothing(report):
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
