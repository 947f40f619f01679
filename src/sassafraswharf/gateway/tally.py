"""Counters and latencies of a router's requests."""

from __future__ import annotations

from collections import Counter

from sassafraswharf.router.latency import LatencyHistogram


class RequestTally:
    """Counters that are read when metrics are collected."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.codes: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.routes: Counter[str] = Counter()
        self.latency = LatencyHistogram()

    def record_outcome(
        self, route: str, service: str, code: int, seconds: float, *, repeatable: bool
    ) -> None:
        """Count a request when its final outcome is known."""
        self.codes[str(code)] += 1
        self.routes[route] += 1
        kind = "lookup" if repeatable else "at_most_once"
        self.latency.record(service, kind, seconds)
