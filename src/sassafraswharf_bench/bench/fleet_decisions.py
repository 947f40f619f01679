"""Simulated key placement and zone choice for provider instances, fixed seeds."""

from __future__ import annotations

from sassafraswharf.fleet.values import Instance
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits
from sassafraswharf_bench.key_ranges import EvenRanges
from sassafraswharf_bench.key_ranges import PlacedRanges
from sassafraswharf_bench.key_ranges import simulate
from sassafraswharf_bench.zone_choice import UPSTREAMS_PER_ZONE
from sassafraswharf_bench.zone_choice import ZONES
from sassafraswharf_bench.zone_choice import shares


SEEDS = (1, 2, 3)
OWNER_COUNT = 5
LOADS = (0.4, 0.65, 0.8)
BELOW_EVEN = Bound(1.0, "baseline: even ranges, same run")
BELOW_UNIFORM = Bound(1.0, "baseline: a uniform choice")
UNIFORM_CROSS_ZONE_SHARE = 1.0 - 1.0 / len(ZONES)


def key_ranges() -> list[Measurement]:
    """Return the unserved requests, placed ranges relative to even ranges.

    The popular keys change during the simulation.
    """
    measures = []
    owners = [Instance(f"i-{number}", 1) for number in range(OWNER_COUNT)]
    for load in LOADS:
        placed = [simulate(PlacedRanges(owners), OWNER_COUNT, load, n) for n in SEEDS]
        even = [simulate(EvenRanges(owners), OWNER_COUNT, load, n) for n in SEEDS]
        unserved = sum(one.unserved for one in placed)
        refused = sum(one.refused for one in placed)
        baseline = sum(one.unserved for one in even)
        note = (
            f"{unserved / len(SEEDS):.1%} of the requests, {refused / len(SEEDS):.1%} "
            "of them to keys that moved"
        )
        name = f"load {load:g}, requests not served, placed / even ranges"
        ratio = round_to_three_digits(unserved / baseline)
        measures.append(Measurement(name, ratio, "", BELOW_EVEN, note))
    return measures


def zones() -> list[Measurement]:
    """Return the shares sent to another zone and sent to a full zone."""
    calm, crowded = shares(2, 2), shares(10, 3)
    uniform_full = UPSTREAMS_PER_ZONE / (UPSTREAMS_PER_ZONE * len(ZONES))
    note = f"{len(ZONES)} zones with {UPSTREAMS_PER_ZONE} upstreams each"
    return [
        Measurement(
            "calm requests that leave their zone, chosen / uniform",
            round_to_three_digits((1.0 - calm.near) / UNIFORM_CROSS_ZONE_SHARE),
            "",
            BELOW_UNIFORM,
            note,
        ),
        Measurement(
            "own zone full, requests that go there, chosen / uniform",
            round_to_three_digits(crowded.full / uniform_full),
            "",
            BELOW_UNIFORM,
            note,
        ),
    ]


def run() -> list[Measurement]:
    """Run the simulations of key ranges and of zone choice."""
    return key_ranges() + zones()
