"""Time of a log append with fsync, by the number of entries per batch."""

from __future__ import annotations

import os
import statistics
import tempfile
import time

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


if TYPE_CHECKING:
    from pathlib import Path


ENTRY_BYTES = 300
BATCH_SIZES = (1, 16, 128)
ROUNDS = 40


def sync_times(folder: str, batch: int) -> list[float]:
    """Return the seconds of each append of one batch, fsync included."""
    times = []
    with tempfile.TemporaryFile(dir=folder) as file:
        for _ in range(ROUNDS):
            started_at = time.monotonic()
            for _ in range(batch):
                file.write(bytes(ENTRY_BYTES))
            file.flush()
            os.fsync(file.fileno())
            times.append(time.monotonic() - started_at)
    return times


def measure(folder: Path) -> dict[str, Any]:
    """Return the median seconds per sync and per entry, and the worst sync."""
    medians, worst = [], 0.0
    for batch in BATCH_SIZES:
        times = sync_times(str(folder), batch)
        medians.append(Point(batch, statistics.median(times)))
        worst = max(worst, *times)
    line = fit(medians)
    return {
        "sync_s": line.intercept,
        "append_s": line.slope,
        "sync_worst_s": worst,
        "points": {"median_s_by_batch": medians},
    }
