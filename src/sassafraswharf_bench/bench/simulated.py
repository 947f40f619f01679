"""Simulated placement and load balancing against simple baselines, fixed seeds."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any

from sassafraswharf.placement.values import Weights
from sassafraswharf_bench import placement_compare
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits
from sassafraswharf_bench.policies.choices import POLICIES
from sassafraswharf_bench.policies.simulation import Simulation
from sassafraswharf_bench.policies.traffic import SHAPES
from sassafraswharf_bench.policies.traffic import generate_arrivals


SEED = 1
WORKER_PROCESSES = 2
"""Parallel runs don't affect the results, because time is simulated."""
UPSTREAMS = 100
OWN_POLICY = "sassafraswharf"
BASELINES = ("round_robin", "least_outstanding")
BELOW_CONSISTENT_HASHING = Bound(1.0, "baseline: consistent hashing, same run")
BELOW_POLICIES = Bound(1.0, "baseline: the better simple policy, same run")
ABOVE_POLICIES = BELOW_POLICIES._replace(at_least=True)


def placement_summary(kind_name: str) -> dict[str, Any]:
    """Simulate one placement with upstream losses and changing hot slots."""
    kind = getattr(placement_compare, kind_name)
    steps = placement_compare.run(kind, UPSTREAMS, Weights())
    return placement_compare.summary(kind_name, UPSTREAMS, steps)


def placement() -> list[Measurement]:
    """Return the planner's imbalance divided by that of consistent hashing."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        own, ring = pool.map(placement_summary, ("PlannedPlacement", "RingPlacement"))
    names = {
        "imbalance_mean": "imbalance, mean, planner / consistent hashing",
        "imbalance_after_150_s": "imbalance 150 s after a shift, the same ratio",
        "imbalance_max": "imbalance, max, the same ratio",
    }
    measures = [
        Measurement(
            name,
            round_to_three_digits(own[field] / ring[field]),
            "",
            BELOW_CONSISTENT_HASHING,
            f"{own[field]:g} and {ring[field]:g}, {UPSTREAMS} upstreams",
        )
        for field, name in names.items()
    ]
    text = f"consistent hashing: {ring['planned_moves']}"
    moved = own["planned_moves"]
    measures.append(
        Measurement("planned moves of slots in 900 s", moved, "", None, text)
    )
    return measures


def policy_measures(case: tuple[int, str]) -> dict[str, Any]:
    """Simulate one load-balancing policy on the service of one deployment."""
    shape = SHAPES[case[0]]
    arrivals = generate_arrivals(shape, SEED)
    return Simulation(shape, POLICIES[case[1]](shape)).run(arrivals)


def policy() -> list[Measurement]:
    """Return this project's results divided by those of the better baseline."""
    cases = list(product(range(len(SHAPES)), (OWN_POLICY, *BASELINES)))
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        found = dict(zip(cases, pool.map(policy_measures, cases), strict=True))
    measures = []
    for number, shape in enumerate(SHAPES):
        where = f"{shape.deployment}/{shape.service}"
        own = found[number, OWN_POLICY]
        others = [found[number, name] for name in BASELINES]
        for field, text, bound, best in (
            ("lookup_p99_ms", "lookup p99", BELOW_POLICIES, min),
            ("bookings_served", "share of bookings served", ABOVE_POLICIES, max),
        ):
            baseline = best(other[field] for other in others)
            name = f"{where}: {text}, ours / better baseline"
            ratio = round_to_three_digits(own[field] / baseline)
            note = f"{own[field]:g} and {baseline:g}, seed {SEED}"
            measures.append(Measurement(name, ratio, "", bound, note))
    return measures
