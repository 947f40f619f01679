"""Garbage collection of long-running processes."""

from __future__ import annotations

import gc


GC_THRESHOLDS = 10_000, 10, 10
"""Requests are freed by their reference counts. With the default of 700 new
objects the collector looked through them so often that it took a tenth of the
processor time of a lookup."""


def tune_garbage_collection() -> None:
    """Collect garbage less often, and never among what the start has created."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
