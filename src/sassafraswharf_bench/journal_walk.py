"""Random fault injection into the simulated journal fleet, for more seeds than a test.

Prints one JSON line with the seeds that violated a guarantee and the counts of
replies to callers in all walks::

    python -m sassafraswharf_bench.journal_walk --first 0 --walks 6000
"""

from __future__ import annotations

import argparse
import json
import random
import sys

from collections import Counter

from sassafraswharf_bench.journal_fleet import Fleet


STEPS = 150
WEIGHTS = {
    "call": 20,
    "deliver": 25,
    "drop": 3,
    "dispatch": 12,
    "finish": 5,
    "hang_up": 2,
    "reassign": 4,
    "freeze": 3.5,
    "resume": 4.5,
    "kill": 1.5,
    "reopen": 1.5,
    "learn": 1,
    "replace_peers": 2,
    "poll": 5,
    "settle": 9,
    "pass_time": 3,
}
RETENTION_EXPIRY_PROBABILITY = 0.07


def walk(seed: int) -> Fleet:
    """Return the fleet after a walk, which ends at the first violation."""
    rng = random.Random(seed)
    size = rng.choice((3, 4, 5))
    fleet = Fleet(size)
    for name in rng.choices(list(WEIGHTS), list(WEIGHTS.values()), k=STEPS):
        step(fleet, name, rng.randrange(size), rng)
        if fleet.violations():
            break
    return fleet


def step(fleet: Fleet, name: str, index: int, rng: random.Random) -> None:
    """Take one step, preferably where it has an effect."""
    if name == "call":
        request = rng.choice("ab")
        sessions = [router.session for router in fleet.routers]
        if fleet.owner in sessions and rng.random() < 0.75:
            index = sessions.index(fleet.owner)
        if fleet.now < 600 or not fleet.runs[request]:
            fleet.call(request, index, rng.random() < 0.08)
    elif name in {"deliver", "drop"}:
        getattr(fleet, name)(rng.randrange(30) if rng.random() < 0.4 else 0)
    elif name in {"dispatch", "finish"}:
        able = [i for i, r in enumerate(fleet.routers) if r.decided or r.outcomes]
        getattr(fleet, name)(rng.choice([index, *able]), rng.random() < 0.3)
    elif name == "replace_peers":
        others = [other for other in range(len(fleet.routers)) if other != index]
        fleet.replace_peers(index, *rng.sample(others, 2))
    elif name == "pass_time":
        long = rng.random() < RETENTION_EXPIRY_PROBABILITY
        fleet.pass_time(700.0 if long else rng.choice((0.1, 0.3, 0.5)))
    elif name == "settle":
        fleet.settle()
    else:
        getattr(fleet, name)(index)


def main() -> int:
    """Print the result of the walks; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--walks", type=int, default=1000)
    options = parser.parse_args()
    broken: dict[int, list[str]] = {}
    words: Counter[str] = Counter()
    runs = 0
    for seed in range(options.first, options.first + options.walks):
        fleet = walk(seed)
        runs += sum(fleet.runs.values())
        words.update(word for _, word in fleet.caller_replies)
        if fleet.violations():
            broken[seed] = fleet.violations()
    line = {"walks": options.walks, "runs": runs, "words": words, "broken": broken}
    sys.stdout.write(json.dumps(line) + "\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
