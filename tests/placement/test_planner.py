from __future__ import annotations

import pytest

from sassafraswharf.ownership.slot_table import SlotTable
from sassafraswharf.ownership.values import SlotRun
from sassafraswharf.placement.planner import Planner
from sassafraswharf.placement.values import Move
from sassafraswharf.placement.values import PlannerLimits
from sassafraswharf.placement.values import UpstreamLoad
from sassafraswharf.placement.values import Weights


SLOTS = 400


class Service:
    """A table to which every planned move is applied at once."""

    def __init__(self, speeds: dict[str, float], planner: Planner) -> None:
        self.table = SlotTable("diary", SLOTS)
        self.speeds = dict(speeds)
        self.planner = planner
        self.loads: dict[int, float] = {}
        self.cold = 1.0
        self.epoch = 0

    def load_of(self, name: str) -> float:
        return sum(
            self.loads.get(slot, self.cold)
            for slot in range(SLOTS)
            if self.table.at(slot).upstream == name
        )

    def plan(self, now: float, away: tuple[str, ...] = ()) -> list[Move]:
        upstreams = [
            UpstreamLoad(n, s, self.load_of(n), n not in away)
            for n, s in self.speeds.items()
        ]
        moves = self.planner.plan(self.table, upstreams, self.loads, now)
        self.epoch += 1
        runs = [SlotRun(m.slot, 1, m.target, 1, self.epoch, False, ()) for m in moves]
        self.table.assign(runs, self.epoch).unwrap()
        return moves

    def utilisation(self) -> list[float]:
        return [self.load_of(name) / speed for name, speed in self.speeds.items()]

    def imbalance(self) -> float:
        total = sum(self.load_of(name) for name in self.speeds)
        return max(self.utilisation()) * sum(self.speeds.values()) / total


SPEEDS = {"a": 1.0, "b": 1.0, "c": 4.0, "d": 4.0}


def test_first_placement_follows_speed() -> None:
    """Guards against placement by count, which overloads slow upstreams."""
    service = Service(SPEEDS, Planner())
    assert len(service.plan(0.0)) == SLOTS
    assert [service.load_of(name) for name in SPEEDS] == [40, 40, 160, 160]
    assert len(service.table.runs()) == 4
    assert service.plan(1.0) == []


@pytest.mark.parametrize("hot", [[0], [0, 1], [41, 42, 200]])
def test_hot_slots_move_within_minutes(hot: list[int]) -> None:
    """Guards against hot slots that stay together or overload slow upstreams."""
    service = Service(SPEEDS, Planner())
    service.plan(0.0)
    service.loads = dict.fromkeys(hot, 60.0)
    before = service.imbalance()
    for now in range(1, 121):
        service.plan(float(now))
    ideal = max(1.0, 60.0 / 4 * 10 / sum(service.load_of(n) for n in SPEEDS))
    assert service.imbalance() < ideal * 1.15 < before


def test_orphans_go_first_and_need_no_budget() -> None:
    """Guards against unserved slots that wait behind planned moves."""
    limits = PlannerLimits(moves_per_minute=6)
    service = Service(SPEEDS, Planner(limits=limits))
    service.plan(0.0)
    owned = service.load_of("d")
    service.loads = {0: 60.0}
    moves = service.plan(1.0, away=("d",))
    assert [move.source for move in moves[:160]] == [None] * int(owned)
    assert len(moves) <= 161
    assert service.load_of("d") == 0


def test_returned_upstream_keeps_its_orphans() -> None:
    """Guards against churn when the previous upstream is available again."""
    service = Service(SPEEDS, Planner())
    service.plan(0.0)
    orphans = [s for s in range(SLOTS) if service.table.at(s).upstream == "b"]
    upstreams = [
        UpstreamLoad(n, s, service.load_of(n), True) for n, s in SPEEDS.items()
    ]
    moves = service.planner.plan(service.table, upstreams, {}, 1.0, orphans)
    assert {(m.slot, m.target) for m in moves} == {(slot, "b") for slot in orphans}


@pytest.mark.parametrize(("per_minute", "at_most"), [(6, 7), (60, 70)])
def test_moves_stay_within_the_budget(per_minute: int, at_most: int) -> None:
    """Guards against a burst of handovers when many upstreams are admitted."""
    service = Service(
        {"a": 1.0}, Planner(limits=PlannerLimits(moves_per_minute=per_minute))
    )
    service.plan(0.0)
    service.speeds["b"] = 1.0
    moved = sum(len(service.plan(now / 4)) for now in range(1, 241))
    assert per_minute - 1 <= moved <= at_most


def test_weights_decide_how_much_imbalance_is_tolerated() -> None:
    """Guards against weights that have no effect."""
    moved = []
    for weights in (Weights(1.0, 1.0, 1.0), Weights(0.1, 1.0, 0.1)):
        service = Service(SPEEDS, Planner(weights))
        service.plan(0.0)
        service.speeds["c"] = 3.6
        moved.append(sum(len(service.plan(float(now))) for now in range(1, 90)))
    assert moved[0] < moved[1]
    assert moved[1] > 0


def test_settled_plan_moves_nothing() -> None:
    """Guards against slots that move back and forth."""
    service = Service(SPEEDS, Planner())
    service.loads = {7: 30.0, 300: 12.0}
    for now in range(240):
        service.plan(float(now))
    assert [service.plan(240.0 + now) for now in range(60)] == [[]] * 60


def test_index_reads_only_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against planning that reads the whole table after each change."""
    service = Service(SPEEDS, Planner())
    service.plan(0.0)
    service.plan(1.0)
    read: list[int] = []
    put = service.planner.index._put
    monkeypatch.setattr(
        service.planner.index, "_put", lambda s, u: (read.append(s), put(s, u))
    )
    run = SlotRun(9, 1, "b", 1, 99, False, ())
    service.table.assign([run], 99).unwrap()
    service.plan(2.0)
    assert read == [9]


@pytest.mark.parametrize(
    ("load", "reported", "is_free"),
    [(0.0, True, True), (0.0, False, False), (50.0, True, False)],
)
def test_only_a_service_that_is_known_to_be_idle_moves_freely(
    load: float, reported: bool, is_free: bool
) -> None:
    """Guards against a new leader that moves all slots before it knows the load."""
    table = SlotTable("diary", 4_096)
    table.assign([SlotRun(0, 4_096, "u1", 1, 1, False, ())], 1).unwrap()
    upstreams = [
        UpstreamLoad("u1", 100.0, load, True, reported),
        UpstreamLoad("u2", 100.0, 0.0, True),
    ]
    moves = Planner().plan(table, upstreams, {}, 0.0)
    budget = 4_096 // 4 // 6
    assert moves
    assert (len(moves) > budget) == is_free
