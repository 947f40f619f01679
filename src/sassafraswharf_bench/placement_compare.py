"""Compare the planner with plain consistent hashing in virtual time.

A skewed load runs over 65,536 slots and upstreams whose speeds differ by 1 to
4. The hot slots change every five minutes; one upstream is lost and returns.
Each line of output is a JSON object. Run it with
``python -m sassafraswharf_bench.placement_compare``; the seed is fixed.

Imbalance is the highest utilisation (load divided by speed) divided by the
mean utilisation, so 1.0 is perfect.
"""

from __future__ import annotations

import bisect
import json
import random
import statistics
import time

from typing import NamedTuple

import xxhash

from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.ownership.slot_table import SlotTable
from sassafraswharf.ownership.values import SlotRun
from sassafraswharf.placement.planner import Planner
from sassafraswharf.placement.values import Move
from sassafraswharf.placement.values import UpstreamLoad
from sassafraswharf.placement.values import Weights


SEED = 20_260
SLOT_COUNT = 65_536
UPSTREAM_COUNTS = (10, 100, 2_400)
SPEEDS = (1.0, 4.0)
HOT_SLOTS = 63
HOT_SHARE = 0.2
HOT_LOAD_OF_UPSTREAM = 0.3
REQUESTS_PER_UPSTREAM = 5_833.0
DURATION_S = 900
STEP_S = 5
HOT_SET_LIFETIME_S = 300
LOST_AT_S = 450
RETURNS_AT_S = 600
RING_POINTS = 100
REPORTED_ABOVE_MEAN = 2.0


class Step(NamedTuple):
    """Measurements of one step of virtual time."""

    imbalance: float
    moves: int
    orphans: int
    plan_ms: float


class Load:
    """Load per slot in requests per second; the hot slots change."""

    def __init__(self, upstreams: int, rng: random.Random) -> None:
        self.total = REQUESTS_PER_UPSTREAM * upstreams
        hot_share = min(HOT_SHARE, HOT_SLOTS * HOT_LOAD_OF_UPSTREAM / upstreams)
        weights = [(rank + 1) ** -0.5 for rank in range(HOT_SLOTS)]
        scale = self.total * hot_share / sum(weights)
        self.hot_loads = [weight * scale for weight in weights]
        cold = [rng.uniform(0.5, 1.5) for _ in range(SLOT_COUNT)]
        scale = self.total * (1 - hot_share) / sum(cold)
        self.cold = [load * scale for load in cold]
        self.slots = list(self.cold)

    def change_hot_set(self, rng: random.Random) -> None:
        """Select new hot slots at random."""
        self.slots = list(self.cold)
        for load in self.hot_loads:
            self.slots[rng.randrange(SLOT_COUNT)] += load

    def reported(self) -> dict[int, float]:
        """Return the slots that routers report as their hottest ones."""
        limit = REPORTED_ABOVE_MEAN * self.total / SLOT_COUNT
        return {slot: load for slot, load in enumerate(self.slots) if load > limit}


class PlannedPlacement:
    """Slots placed by the planner; a planned move takes one step."""

    def __init__(self, speeds: dict[UpstreamId, float], weights: Weights) -> None:
        self.speeds = speeds
        self.table = SlotTable(ServiceName("bench"), SLOT_COUNT)
        self.planner = Planner(weights)
        self.owners: list[UpstreamId | None] = [None] * SLOT_COUNT
        self.version = 0

    def step(self, load: Load, away: set[UpstreamId], now: float) -> list[Move]:
        """Plan once and apply the moves."""
        sums = load_per_upstream(self.owners, load.slots)
        upstreams = [
            UpstreamLoad(name, speed, sums.get(name, 0.0), name not in away, True)
            for name, speed in self.speeds.items()
        ]
        # No load is reported before the first placement.
        hot = load.reported() if sums.keys() - {None} else {}
        started = time.perf_counter()
        moves = self.planner.plan(self.table, upstreams, hot, now)
        self.plan_ms = (time.perf_counter() - started) * 1_000
        self.version += 1
        runs = [
            SlotRun(move.slot, 1, move.target, SessionId(1), self.version, False, ())
            for move in moves
        ]
        self.table.assign(runs, self.version).unwrap()
        for move in moves:
            self.owners[move.slot] = move.target
        return moves


class RingPlacement:
    """Plain consistent hashing: the same number of points per upstream."""

    def __init__(self, speeds: dict[UpstreamId, float], _: Weights) -> None:
        self.points = sorted(
            (xxhash.xxh64_intdigest(f"{name}#{point}".encode()), name)
            for name in speeds
            for point in range(RING_POINTS)
        )
        self.owners: list[UpstreamId | None] = [None] * SLOT_COUNT
        self.away: set[UpstreamId] | None = None
        self.plan_ms = 0.0

    def step(self, _: Load, away: set[UpstreamId], __: float) -> list[Move]:
        """Place all slots again if the upstreams changed."""
        if away == self.away:
            return []
        started = time.perf_counter()
        self.away = set(away)
        points = [point for point in self.points if point[1] not in away]
        hashes = [point[0] for point in points]
        moves = []
        for slot in range(SLOT_COUNT):
            digest = xxhash.xxh64_intdigest(slot.to_bytes(4, "big"))
            target = points[bisect.bisect(hashes, digest) % len(points)][1]
            source = self.owners[slot]
            if target != source:
                moves.append(Move(slot, None if source in away else source, target))
                self.owners[slot] = target
        self.plan_ms = (time.perf_counter() - started) * 1_000
        return moves


def load_per_upstream(
    owners: list[UpstreamId | None], slots: list[float]
) -> dict[UpstreamId | None, float]:
    """Return the sum of the slots' load per owner."""
    sums: dict[UpstreamId | None, float] = {}
    for owner, load in zip(owners, slots, strict=True):
        sums[owner] = sums.get(owner, 0.0) + load
    return sums


def imbalance(
    owners: list[UpstreamId | None],
    load: Load,
    speeds: dict[UpstreamId, float],
    away: set[UpstreamId],
) -> float:
    """Return the highest utilisation divided by the mean utilisation."""
    sums = load_per_upstream(owners, load.slots)
    present = {name: speed for name, speed in speeds.items() if name not in away}
    highest = max(sums.get(name, 0.0) / speed for name, speed in present.items())
    return highest * sum(present.values()) / load.total


def run(
    kind: type[PlannedPlacement | RingPlacement], upstreams: int, weights: Weights
) -> list[Step]:
    """Run one placement for the whole simulated duration."""
    rng = random.Random(SEED)
    speeds = {
        UpstreamId(f"upstream-{number}"): SPEEDS[number % len(SPEEDS)]
        for number in range(upstreams)
    }
    load = Load(upstreams, rng)
    placement = kind(speeds, weights)
    lost = UpstreamId("upstream-1")
    steps = []
    for now in range(0, DURATION_S, STEP_S):
        if now % HOT_SET_LIFETIME_S == 0:
            load.change_hot_set(rng)
        away = {lost} if LOST_AT_S <= now < RETURNS_AT_S else set()
        moves = placement.step(load, away, float(now))
        orphans = sum(move.source is None for move in moves)
        steps.append(
            Step(
                imbalance(placement.owners, load, speeds, away),
                len(moves) - orphans,
                orphans,
                placement.plan_ms,
            )
        )
    return steps


def summary(name: str, upstreams: int, steps: list[Step]) -> dict[str, object]:
    """Return the figures of one run; the first step is the first placement."""
    settled = [
        step.imbalance
        for number, step in enumerate(steps)
        if number * STEP_S % HOT_SET_LIFETIME_S >= HOT_SET_LIFETIME_S // 2
    ]
    plans = sorted(step.plan_ms for step in steps[1:])
    return {
        "placement": name,
        "upstreams": upstreams,
        "slots": SLOT_COUNT,
        "seed": SEED,
        "imbalance_mean": round(statistics.mean(s.imbalance for s in steps), 3),
        "imbalance_max": round(max(s.imbalance for s in steps), 3),
        "imbalance_after_150_s": round(statistics.mean(settled), 3),
        "planned_moves": sum(step.moves for step in steps[1:]),
        "orphan_moves": sum(step.orphans for step in steps[1:]),
        "first_plan_ms": round(steps[0].plan_ms, 2),
        "plan_ms_median": round(statistics.median(plans), 2),
        "plan_ms_p95": round(plans[int(len(plans) * 0.95)], 2),
        "plan_ms_max": round(plans[-1], 2),
    }


def main() -> None:
    """Print one JSON line per placement and size."""
    kinds: list[tuple[str, type[PlannedPlacement | RingPlacement], Weights]] = [
        ("planner, equal weights", PlannedPlacement, Weights()),
        ("planner, imbalance first", PlannedPlacement, Weights(0.3, 1.0, 0.3)),
        ("planner, unavailable first", PlannedPlacement, Weights(1.0, 0.3, 0.3)),
        ("consistent hashing", RingPlacement, Weights()),
    ]
    for upstreams in UPSTREAM_COUNTS:
        for name, kind, weights in kinds:
            steps = run(kind, upstreams, weights)
            print(json.dumps(summary(name, upstreams, steps)), flush=True)


if __name__ == "__main__":
    main()
