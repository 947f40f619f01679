"""A latency histogram by service and kind of request."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING
from typing import Final


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping


BUCKET_BOUNDS_S: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.019,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
"""Upper bounds of the buckets; 19 ms is the target for 99 of 100 requests."""
INFINITE_BOUND: Final = "+Inf"


class LatencyHistogram:
    """Counts requests by the time until their answer.

    The counts are plain integers that OpenTelemetry reads on collection. Recording
    into its own histogram would cost several microseconds per request.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], list[int]] = {}

    def record(self, service: str, kind: str, seconds: float) -> None:
        """Count one request."""
        counts = self.counts.get((service, kind))
        if counts is None:
            counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
            self.counts[service, kind] = counts
        counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1

    def read(self) -> Iterator[tuple[int, Mapping[str, str]]]:
        """Yield the cumulative count of each bucket with its labels."""
        names = [*map(str, BUCKET_BOUNDS_S), INFINITE_BOUND]
        for (service, kind), counts in self.counts.items():
            total = 0
            for name, count in zip(names, counts, strict=True):
                total += count
                yield total, {"service": service, "kind": kind, "le": name}
