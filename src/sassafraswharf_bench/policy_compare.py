"""Compare admission and upstream choice with simple policies, in virtual time.

It runs each policy in a discrete-event simulation with the same arrivals
and prints one JSON line per deployment and policy, then the wall-clock
cost of single decisions::

    python -m sassafraswharf_bench.policy_compare --seed 1

The arrivals are open loop. One upstream has four times the speed of the
slowest, the hot keys move every 10 s, one upstream freezes for 4 s, one
fails all requests while its health endpoint reports no fault and another one
reports a fault it does not have. At the end the load is 1.5 times the capacity.
"""

from __future__ import annotations

import argparse
import json
import sys

from sassafraswharf_bench.decision_cost import decision_costs
from sassafraswharf_bench.policies.choices import POLICIES
from sassafraswharf_bench.policies.simulation import Simulation
from sassafraswharf_bench.policies.traffic import SHAPES
from sassafraswharf_bench.policies.traffic import generate_arrivals


def main() -> None:
    """Print the comparison and the cost of decisions as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for shape in SHAPES:
        arrivals = generate_arrivals(shape, seed)
        for name, policy in POLICIES.items():
            measures = Simulation(shape, policy(shape)).run(arrivals)
            line = {
                "deployment": shape.deployment,
                "service": shape.service,
                "policy": name,
                "seed": seed,
                **measures,
            }
            sys.stdout.write(json.dumps(line) + "\n")
    for line in decision_costs():
        sys.stdout.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    main()
