"""Plans which slots of a service move to which upstream."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from sassafraswharf.placement.balance import Balance
from sassafraswharf.placement.cold_loads import ColdLoads
from sassafraswharf.placement.move_targets import MoveTargets
from sassafraswharf.placement.orphans import place_orphans
from sassafraswharf.placement.slot_index import SlotIndex
from sassafraswharf.placement.values import Move
from sassafraswharf.placement.values import PlannerLimits
from sassafraswharf.placement.values import Weights


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.placement.balance import Bin
    from sassafraswharf.placement.values import UpstreamLoad


BUDGET_BURST_S = 10.0
PLAN_LIFETIME_S = 30.0
CHURN_COST_PER_MOVE = 0.1
MAX_MOVES_PER_PLAN = 512
MAX_IDLE_MOVES_PER_PLAN = 1_024
"""Planning this many moves takes about 20 ms."""


class Planner:
    """Plans the slots of one service; reuses its index between calls.

    The planner minimises the weighted sum of imbalance, churn and unavailable
    time. Imbalance is the variance of relative utilisation (load divided by
    speed, relative to the mean), weighted by speed. Each move must gain more
    than it costs in churn and handover time.
    """

    def __init__(
        self, weights: Weights | None = None, limits: PlannerLimits | None = None
    ) -> None:
        self.weights = weights or Weights()
        self.limits = limits or PlannerLimits()
        self.index = SlotIndex()
        self.cold_loads = ColdLoads()
        self._planned: dict[int, tuple[UpstreamId, float]] = {}
        self._moved_at: dict[int, float] = {}
        self._tokens = 0.0
        self._tokens_at: float | None = None

    def plan(
        self,
        table: SlotTable,
        upstreams: Sequence[UpstreamLoad],
        slot_loads: Mapping[int, float],
        now: float,
        orphans: Iterable[int] | None = None,
    ) -> list[Move]:
        """Return the moves to start now.

        Moves of orphaned slots come first, have no source and are not limited.
        All other moves need a handover; their number is limited by the budget
        unless the service is idle. ``slot_loads`` needs only the slots with
        more than average load, in requests per second. ``orphans`` defaults to
        the slots without an owner or whose upstream is not available. A slot
        with a planned move counts as moved for 30 s. ``now`` is in seconds.
        """
        self.index.update(table)
        self._expire_entries(now)
        available = {load.upstream for load in upstreams if load.available}
        lost = self._orphans(table, available) if orphans is None else list(orphans)
        planned = {slot: target for slot, (target, _) in self._planned.items()}
        self.cold_loads.update(self.index, upstreams, slot_loads, now)
        balance = Balance(
            self.index, upstreams, slot_loads, table, lost, planned, self.cold_loads
        )
        moves = place_orphans(table, lost, balance, planned)
        for move in moves:
            self._planned.pop(move.slot, None)
        if not balance.bins:
            return moves
        budget = self._budget(table.slot_count, now)
        idle = self._is_idle(upstreams, slot_loads)
        if idle:
            budget = MAX_IDLE_MOVES_PER_PLAN
        planned_moves = list(self._rebalance(table, balance, budget, set(lost), now))
        for move in planned_moves:
            self._planned[move.slot] = (move.target, now)
        if not idle:
            self._tokens -= len(planned_moves)
            self._moved_at.update((move.slot, now) for move in planned_moves)
        return moves + planned_moves

    def _is_idle(
        self, upstreams: Sequence[UpstreamLoad], slot_loads: Mapping[int, float]
    ) -> bool:
        """Return whether every owner reports that it serves nothing.

        A move then delays no caller, so it doesn't count against the budget and
        the slot has no cooldown.
        """
        return not any(slot_loads.values()) and all(
            load.reported and not load.load
            for load in upstreams
            if self.index.slots.get(load.upstream)
        )

    def _orphans(self, table: SlotTable, available: set[UpstreamId]) -> list[int]:
        return table.slots_where(
            lambda holding: (
                not holding.closing
                and (holding.upstream is None or holding.upstream not in available)
            )
        )

    def _budget(self, slot_count: int, now: float) -> int:
        per_minute = self.limits.moves_per_minute or max(16, slot_count // 4)
        burst = max(1.0, per_minute * BUDGET_BURST_S / 60)
        if self._tokens_at is None:
            self._tokens = burst
        else:
            elapsed = max(0.0, now - self._tokens_at)
            self._tokens = min(burst, self._tokens + elapsed * per_minute / 60)
        self._tokens_at = now
        return min(MAX_MOVES_PER_PLAN, int(self._tokens))

    def _rebalance(
        self,
        table: SlotTable,
        balance: Balance,
        budget: int,
        excluded: set[int],
        now: float,
    ) -> Iterator[Move]:
        sources = [(-item.excess, item.position) for item in balance.bins]
        heapq.heapify(sources)
        targets = MoveTargets(balance.bins)
        while budget > 0 and sources:
            source = _pop_current(sources, balance)
            if source is None or source.excess <= 0:
                return
            best = self._best_move(table, balance, source, targets, excluded, now)
            if best is None:
                continue
            slot, target = best
            excluded.add(slot)
            balance.move(slot, source, target)
            budget -= 1
            for item in (source, target):
                heapq.heappush(sources, (-item.excess, item.position))
                targets.on_load_change(item)
            yield Move(slot, source.upstream, target.upstream)

    def _best_move(
        self,
        table: SlotTable,
        balance: Balance,
        source: Bin,
        move_targets: MoveTargets,
        excluded: set[int],
        now: float,
    ) -> tuple[int, Bin] | None:
        cost = self._cost_of_move()
        best: tuple[int, Bin] | None = None
        best_benefit = self.limits.min_benefit
        weight = self.weights.imbalance
        targets = [
            target
            for target in move_targets.least_utilised()
            if weight * balance.gain_bound(source, target) - cost > best_benefit
        ]
        if not targets:
            return None
        movable = self._is_movable(table, now)
        for slot in balance.candidates(source, excluded, movable):
            load = balance.load_of(slot)
            for target in targets:
                benefit = weight * balance.gain(load, source, target) - cost
                if benefit > best_benefit:
                    best, best_benefit = (slot, target), benefit
        return best

    def _cost_of_move(self) -> float:
        unavailable = self.weights.unavailable * self.limits.handover_s
        return CHURN_COST_PER_MOVE * self.weights.churn + unavailable

    def _is_movable(self, table: SlotTable, now: float) -> _Movable:
        return _Movable(table, self._moved_at, now - self.limits.cooldown_s)

    def _expire_entries(self, now: float) -> None:
        for slot, (target, at) in list(self._planned.items()):
            arrived = self.index.owner.get(slot) == target
            if arrived or now - at > PLAN_LIFETIME_S:
                del self._planned[slot]
        limit = now - self.limits.cooldown_s
        for slot, at in list(self._moved_at.items()):
            if at >= limit:
                # Entries are ordered by time, except for repeated moves.
                break
            del self._moved_at[slot]


class _Movable:
    """Tests whether a slot may move: not in handover and not in its cooldown."""

    def __init__(
        self, table: SlotTable, moved_at: dict[int, float], limit: float
    ) -> None:
        self.table = table
        self.moved_at = moved_at
        self.limit = limit

    def __call__(self, slot: int) -> bool:
        if self.moved_at.get(slot, self.limit - 1) >= self.limit:
            return False
        return not self.table.holding(slot).closing


def _pop_current(heap: list[tuple[float, int]], balance: Balance) -> Bin | None:
    while heap:
        key, position = heapq.heappop(heap)
        item = balance.bins[position]
        if key == -item.excess:
            return item
    return None
