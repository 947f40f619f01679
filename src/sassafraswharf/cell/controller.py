"""Control loop of a cell's leader: closes expired sessions and places slots."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.cell.commands import Assignment
from sassafraswharf.cell.commands import AssignSlots
from sassafraswharf.cell.commands import CloseSession
from sassafraswharf.cell.commands import CloseSessions
from sassafraswharf.cell.commands import CloseSlots
from sassafraswharf.cell.commands import RemoveUpstream
from sassafraswharf.cell.peer_planner import PeerPlanner
from sassafraswharf.membership.values import SessionState
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.slot_table import ranges_of
from sassafraswharf.placement.planner import Planner
from sassafraswharf.placement.values import PlannerLimits
from sassafraswharf.placement.values import Weights


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.cell.commands import Command
    from sassafraswharf.cell.state import CellState
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.values import Holding
    from sassafraswharf.placement.load_view import LoadView
    from sassafraswharf.placement.values import Move


CELL_ACTOR = "cell"
REBALANCE_INTERVAL_S = 1.0
STARTUP_QUIET_PERIOD_S = 1.2
"""Lets three upstreams that announce themselves within two seconds share the
slots."""
STARTUP_MAX_WAIT_S = 2.5
WORK_PER_TICK = 3_072
"""Slots to place plus upstreams to compare; each takes about 6 µs, and a tick
must not block the event loop for 50 ms."""
MIN_SLOTS_PER_TICK = 512


class _ServicePlan(NamedTuple):
    """Commands for one service and the cost of planning them, in slots."""

    commands: list[Command]
    work: int


class _StartupWait(NamedTuple):
    """Times of the first and last upstream to join a new service, and the count."""

    started_at: float
    last_arrival_at: float
    upstreams: int


class CellController:
    """Computes commands from the state, expired leases and reported loads.

    Call ``tick`` only on the leader, with all entries of earlier terms
    applied, and only when none of the commands of the previous tick is still
    in the log without being applied. The commands of one tick must be applied
    in the order given. The next tick reissues lost commands, and the state
    refuses those that no longer apply. A new leader creates a new controller.
    """

    def __init__(
        self, weights: Weights | None = None, limits: PlannerLimits | None = None
    ) -> None:
        self.weights = weights or Weights()
        self.limits = limits or PlannerLimits()
        self.planners: dict[ServiceName, Planner] = {}
        self._planned_at: dict[ServiceName, float] = {}
        self.peer_planner = PeerPlanner()
        self._startup_waits: dict[ServiceName, _StartupWait] = {}
        self._peers_planned_with_slots = False

    def configure(self, weights: Weights, limits: PlannerLimits) -> None:
        """Replace the weights and limits from the next tick on."""
        self.weights = weights
        self.limits = limits
        for planner in self.planners.values():
            planner.weights = weights
            planner.limits = limits

    def tick(
        self,
        state: CellState,
        expired: Sequence[SessionId],
        loads: LoadView,
        now: float,
        at: float = 0.0,
        since_renewal_s: Mapping[SessionId, float] | None = None,
    ) -> list[Command]:
        """Return the commands to propose, in order.

        ``now`` is boot time for the planner's budget, ``at`` is wall-clock
        time for the commands, ``since_renewal_s`` the time since the last renewal of
        the expired sessions; all in seconds.
        """
        silent = since_renewal_s or {}
        expired_open = [
            session
            for session in expired
            if session in state.sessions
            and state.sessions[session].state != SessionState.CLOSED
        ]
        times = tuple(round(silent.get(key, 0.0) * 1_000) for key in expired_open)
        commands: list[Command] = []
        if len(expired_open) == 1:
            commands.append(
                CloseSession(expired_open[0], "lease expired", at, times[0])
            )
        elif expired_open:
            commands.append(
                CloseSessions(tuple(expired_open), "lease expired", at, times)
            )
        closing_sessions = frozenset(expired_open)
        placed = self._place_all(state, closing_sessions, loads, now, at)
        commands += placed
        commands += self._remove_drained(state, closing_sessions, at)
        # While a zone's slots are placed, only every second tick also chooses
        # journal peers, which hashes pairs of sessions.
        defer_peers = bool(placed) and self._peers_planned_with_slots
        if not defer_peers:
            commands += self._journal_peers(state, closing_sessions, at)
        self._peers_planned_with_slots = bool(placed) and not defer_peers
        return commands

    def _place_all(
        self,
        state: CellState,
        closing_sessions: frozenset[SessionId],
        loads: LoadView,
        now: float,
        at: float,
    ) -> list[Command]:
        """Place the services in turn until the work budget of the tick is spent.

        The least recently planned services come first. A service without orphaned
        slots is only planned if nothing else was planned in this tick.
        """
        commands: list[Command] = []
        work_left = WORK_PER_TICK
        for service in sorted(
            state.services, key=lambda name: self._planned_at.get(name, -math.inf)
        ):
            done = self._place_service(
                state, service, closing_sessions, loads, now, at, work_left
            )
            commands += done.commands
            work_left -= done.work
            if work_left <= 0:
                break
        return commands

    def _place_service(
        self,
        state: CellState,
        service: ServiceName,
        closing_sessions: frozenset[SessionId],
        loads: LoadView,
        now: float,
        at: float,
        work_left: int,
    ) -> _ServicePlan:
        table = state.tables[service]
        planner = self._planner_of(service)
        upstreams = [u for u in state.upstreams.values() if u.service == service]
        sessions = {
            u.upstream: u.session
            for u in upstreams
            if u.session not in closing_sessions
            and state.members.accepts_slots(u.upstream, u.session, service)
        }

        if not table.version and self._awaits_more_upstreams(
            service, set(sessions), now
        ):
            return _ServicePlan([], 0)
        check = state.orphan_check()

        def is_orphaned(holding: Holding) -> bool:
            return holding.session in closing_sessions or check(holding)

        limit = max(work_left - len(upstreams), MIN_SLOTS_PER_TICK)
        orphans = table.slots_where(is_orphaned)[:limit] if sessions else []
        # Loads change slowly, and a plan takes milliseconds of the leader's time,
        # so only orphaned slots are planned in every tick.
        last = self._planned_at.get(service)
        if not orphans:
            if last is not None and now - last < REBALANCE_INTERVAL_S:
                return _ServicePlan([], 0)
            if work_left < WORK_PER_TICK:
                return _ServicePlan([], 0)
        self._planned_at[service] = now
        moves = planner.plan(
            table,
            loads.upstream_loads(upstreams, set(sessions), now),
            loads.slot_loads(upstreams, now),
            now,
            orphans,
        )
        commands: list[Command] = []
        assignments = _assignments(moves, sessions)
        if assignments:
            commands.append(AssignSlots(service, assignments, at))
        closing = ranges_of(move.slot for move in moves if move.source is not None)
        if closing:
            commands.append(CloseSlots(service, closing, at))
        # A plan without orphaned slots uses up the work budget of the tick.
        return _ServicePlan(
            commands, len(orphans) + len(upstreams) if orphans else work_left
        )

    def _awaits_more_upstreams(
        self, service: ServiceName, present: set[UpstreamId], now: float
    ) -> bool:
        """Return whether a service that never had an owner waits for upstreams.

        The first upstream would otherwise get all slots, and the others would
        get theirs only at the rate of the move budget.
        """
        if not present:
            return False
        wait = self._startup_waits.setdefault(service, _StartupWait(now, now, 0))
        if wait.upstreams != len(present):
            wait = wait._replace(last_arrival_at=now, upstreams=len(present))
            self._startup_waits[service] = wait
        return (
            now - wait.last_arrival_at < STARTUP_QUIET_PERIOD_S
            and now - wait.started_at < STARTUP_MAX_WAIT_S
        )

    def _planner_of(self, service: ServiceName) -> Planner:
        planner = self.planners.get(service)
        if planner is None:
            planner = Planner(self.weights, self.limits)
            self.planners[service] = planner
        return planner

    def _remove_drained(
        self, state: CellState, closing_sessions: frozenset[SessionId], at: float
    ) -> Iterable[Command]:
        draining = {
            upstream.upstream
            for upstream in state.upstreams.values()
            if upstream.state == UpstreamState.DRAINING
        }
        if not draining:
            return []
        owning = {
            holding.upstream
            for table in state.tables.values()
            for holding, _ in table.holdings()
            if not state.is_orphaned(holding)
            and holding.session not in closing_sessions
        }
        return [
            RemoveUpstream(upstream, CELL_ACTOR, at)
            for upstream in sorted(draining)
            if upstream not in owning
        ]

    def _journal_peers(
        self, state: CellState, closing_sessions: frozenset[SessionId], at: float
    ) -> Iterable[Command]:
        live = [
            session
            for session in state.sessions.values()
            if session.state == SessionState.OPEN
            and session.session not in closing_sessions
        ]
        return self.peer_planner.plan(live, at)


def _assignments(
    moves: Sequence[Move], sessions: dict[UpstreamId, SessionId]
) -> tuple[Assignment, ...]:
    placed = sorted((move.slot, move.target) for move in moves if move.source is None)
    runs: list[Assignment] = []
    start = end = 0
    owner: UpstreamId | None = None
    for slot, target in placed:
        if target != owner or slot != end:
            if owner is not None:
                runs.append(Assignment(start, end - start, owner, sessions[owner]))
            start, owner = slot, target
        end = slot + 1
    if owner is not None:
        runs.append(Assignment(start, end - start, owner, sessions[owner]))
    return tuple(runs)
