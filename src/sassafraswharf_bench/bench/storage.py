"""Rate of log appends with group commit, compared with one sync per entry."""

from __future__ import annotations

import statistics

from pathlib import Path
from typing import TYPE_CHECKING

from sassafraswharf_bench import log_append
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits


if TYPE_CHECKING:
    from collections.abc import Sequence


ENTRIES = 1_024
BATCH = 64
ROUNDS = 3
BASELINE = Bound(1.0, "baseline: one sync per entry, same run", at_least=True)


def run() -> list[Measurement]:
    """Return the rates of group commit divided by the baseline's rate."""
    found = log_append.measure(Path(), ENTRIES, BATCH, ROUNDS)
    baseline = found["sync_per_entry"]
    rows: list[tuple[str, Sequence[float]]] = [
        ("log appends, group commit / one sync per entry", found["group_commit"]),
        ("acknowledged proposals / one sync per entry", found["group_task"]),
    ]
    return [
        Measurement(
            name,
            round_to_three_digits(
                statistics.median(rates) / statistics.median(baseline)
            ),
            "",
            BASELINE,
            f"{round_to_three_digits(statistics.median(rates)):g} and "
            f"{round_to_three_digits(statistics.median(baseline)):g} per s, "
            f"batches of {BATCH}",
        )
        for name, rates in rows
    ]
