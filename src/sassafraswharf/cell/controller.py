"""The decisions of a cell's leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.cell.commands import Assignment
from sassafraswharf.cell.commands import AssignSlots
from sassafraswharf.cell.commands import CloseSession
from sassafraswharf.cell.commands import CloseSlots
from sassafraswharf.cell.commands import RemoveUpstream
from sassafraswharf.cell.commands import SetJournalPeers
from sassafraswharf.cell.journal_peers import PEER_COUNT
from sassafraswharf.cell.journal_peers import choose_peers
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
    from sassafraswharf.membership.values import Session
    from sassafraswharf.ownership.values import Holding
    from sassafraswharf.placement.load_view import LoadView
    from sassafraswharf.placement.values import Move


CELL_ACTOR = "cell"
REBALANCE_EVERY_S = 1.0


class CellController:
    """Turns the state, expired leases and loads into commands.

    Call ``tick`` only on the leader, with all entries of earlier terms
    applied, and only when none of the commands of the previous tick is still
    in the log without being applied. The commands of one tick must be applied
    in the order given. A command that was lost is decided again by the next
    tick, and one that no longer fits is refused by the state. A new leader
    starts a new controller.
    """

    def __init__(
        self, weights: Weights | None = None, limits: PlannerLimits | None = None
    ) -> None:
        self.weights = weights or Weights()
        self.limits = limits or PlannerLimits()
        self.planners: dict[ServiceName, Planner] = {}
        self._planned_at: dict[ServiceName, float] = {}
        self._settled_peers: dict[SessionId, tuple[SessionId, ...]] | None = None

    def configure(self, weights: Weights, limits: PlannerLimits) -> None:
        """Use other weights and limits from the next tick on."""
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
    ) -> list[Command]:
        """Return the commands to propose, in order.

        ``now`` is boot time for the planner's budget, ``at`` is wall-clock
        time for the commands; both in seconds.
        """
        ended = [
            session
            for session in expired
            if session in state.sessions
            and state.sessions[session].state != SessionState.CLOSED
        ]
        commands: list[Command] = [
            CloseSession(session, "lease expired", at) for session in ended
        ]
        gone = frozenset(ended)
        for service in state.services:
            commands += self._place(state, service, gone, loads, now, at)
        commands += self._remove_drained(state, gone, at)
        commands += self._journal_peers(state, gone, at)
        return commands

    def _place(
        self,
        state: CellState,
        service: ServiceName,
        gone: frozenset[SessionId],
        loads: LoadView,
        now: float,
        at: float,
    ) -> list[Command]:
        table = state.tables[service]
        planner = self._planner(service)
        upstreams = [u for u in state.upstreams.values() if u.service == service]
        sessions = {
            u.upstream: u.session
            for u in upstreams
            if u.session not in gone
            and state.members.accepts_slots(u.upstream, u.session, service)
        }

        def is_orphaned(holding: Holding) -> bool:
            return holding.session in gone or state.is_orphaned(holding)

        orphans = table.slots_where(is_orphaned) if sessions else []
        # Loads change slowly, and a plan takes milliseconds of the leader's time,
        # so that only orphaned slots are planned in every tick.
        last = self._planned_at.get(service)
        if not orphans and last is not None and now - last < REBALANCE_EVERY_S:
            return []
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
        return commands

    def _planner(self, service: ServiceName) -> Planner:
        planner = self.planners.get(service)
        if planner is None:
            planner = Planner(self.weights, self.limits)
            self.planners[service] = planner
        return planner

    def _remove_drained(
        self, state: CellState, gone: frozenset[SessionId], at: float
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
            if not state.is_orphaned(holding) and holding.session not in gone
        }
        return [
            RemoveUpstream(upstream, CELL_ACTOR, at)
            for upstream in sorted(draining)
            if upstream not in owning
        ]

    def _journal_peers(
        self, state: CellState, gone: frozenset[SessionId], at: float
    ) -> Iterable[Command]:
        live = [
            session
            for session in state.sessions.values()
            if session.state == SessionState.OPEN and session.session not in gone
        ]
        newest = {session.session: _newest_peers(session) for session in live}
        if newest == self._settled_peers:
            return []
        commands = _peer_changes(live, newest, at)
        # Hashing all pairs of sessions in every tick would take tens of
        # milliseconds with 200 hosts.
        self._settled_peers = None if commands else newest
        return commands


def _peer_changes(
    live: Sequence[Session],
    newest: Mapping[SessionId, tuple[SessionId, ...]],
    at: float,
) -> list[Command]:
    zones = {session.session: session.zone for session in live}
    commands: list[Command] = []
    for session in live:
        current = newest[session.session]
        generation = max(session.generation, session.pending_generation)
        peer_zones = {zones[peer] for peer in current if peer in zones}
        if generation and len(peer_zones - {session.zone}) == PEER_COUNT:
            continue
        peers = choose_peers(session, live, current)
        if peers != current or not generation:
            commands.append(SetJournalPeers(session.session, generation + 1, peers, at))
    return commands


def _newest_peers(session: Session) -> tuple[SessionId, ...]:
    if session.pending_generation:
        return session.pending_peers
    return session.peers


def _assignments(
    moves: Sequence[Move], sessions: dict[UpstreamId, SessionId]
) -> tuple[Assignment, ...]:
    runs: list[Assignment] = []
    for move in sorted(moves, key=lambda move: move.slot):
        if move.source is not None:
            continue
        last = runs[-1] if runs else None
        if (
            last is not None
            and last.upstream == move.target
            and last.start + last.length == move.slot
        ):
            runs[-1] = last._replace(length=last.length + 1)
        else:
            session = sessions[move.target]
            runs.append(Assignment(move.slot, 1, move.target, session))
    return tuple(runs)
