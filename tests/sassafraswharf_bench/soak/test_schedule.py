from __future__ import annotations

import itertools

import pytest

from sassafraswharf_bench.soak.fault import Fault
from sassafraswharf_bench.soak.schedule import CONTROL
from sassafraswharf_bench.soak.schedule import FAULT_KINDS
from sassafraswharf_bench.soak.schedule import Schedule


ROUTERS = ["side-0", "side-1", "side-2"]
CONTROLS = ["core-0", "core-1", "core-2"]
SEEDS = range(20)
SECONDS = 60.0


def draw(seed: int) -> list[Fault]:
    return Schedule(seed, ROUTERS, CONTROLS).draw(SECONDS)


def test_a_seed_always_gives_the_same_schedule() -> None:
    """Guards against a schedule that is not reproducible from its seed."""
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


def test_a_printed_schedule_is_read_as_it_was() -> None:
    """Guards against a stored schedule that is parsed into other faults."""
    faults = draw(7)
    assert [Fault.parse(fault.line()) for fault in faults] == faults


@pytest.mark.parametrize("seed", SEEDS)
def test_at_most_one_control_host_is_away(seed: int) -> None:
    """Guards against losing a quorum: three control hosts tolerate one failure."""
    spans = [
        (fault.at_s, fault.at_s + fault.length_s + FAULT_KINDS[fault.kind].extra_s)
        for fault in draw(seed)
        if FAULT_KINDS[fault.kind].target_type == CONTROL
    ]
    assert all(one[1] < other[0] for one, other in itertools.pairwise(spans))


def test_every_kind_is_drawn_and_stops_come_in_series() -> None:
    """Guards against a kind of fault that no seed injects."""
    faults = [fault for seed in SEEDS for fault in draw(seed)]
    assert {fault.kind for fault in faults} == FAULT_KINDS.keys() - {"stop_series"}
    stops = [fault.at_s for fault in draw(SEEDS[0]) if fault.kind == "stop"]
    assert any(later - one < 1.5 for one, later in itertools.pairwise(stops))


def test_faults_overlap() -> None:
    """Guards against faults that are only injected one after the other."""
    ends = [
        (one.at_s + FAULT_KINDS[one.kind].extra_s + one.length_s, later.at_s)
        for one, later in itertools.pairwise(draw(3))
    ]
    assert sum(end > later for end, later in ends) >= len(ends) / 3
