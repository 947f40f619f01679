from __future__ import annotations

import pytest

from sassafraswharf.fleet.values import KEY_COUNT
from sassafraswharf.fleet.values import Instance
from sassafraswharf_bench.bench import fleet_decisions
from sassafraswharf_bench.bench.measure import Verdict
from sassafraswharf_bench.key_ranges import EvenRanges
from sassafraswharf_bench.key_ranges import PlacedRanges
from sassafraswharf_bench.key_ranges import simulate


OWNERS = [Instance(f"i-{number}", 1) for number in range(4)]
LOAD = 0.65


def test_requests_stay_in_their_zone_until_it_is_full() -> None:
    """Guards against a choice of upstreams that is worse than a uniform one."""
    rows = fleet_decisions.zones()
    assert [row.verdict for row in rows] == [Verdict.REACHED] * len(rows)


@pytest.mark.parametrize("seed", [1, 2])
def test_placement_follows_popular_keys(seed: int) -> None:
    """Guards against owners that stay overloaded when the popular keys change."""
    placed = PlacedRanges(OWNERS)
    with_moves = simulate(placed, len(OWNERS), LOAD, seed)
    even = simulate(EvenRanges(OWNERS), len(OWNERS), LOAD, seed)
    assert with_moves.unserved < even.unserved
    assert placed.rows[0].first == 0
    assert placed.rows[-1].last == KEY_COUNT - 1
