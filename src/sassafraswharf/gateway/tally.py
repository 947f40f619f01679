"""Counts of a router's requests."""

from __future__ import annotations

from collections import Counter

from sassafraswharf.router.latency import LatencyHistogram


class RequestTally:
    """Plain counts that the metrics page reads when somebody asks for it."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.codes: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.routes: Counter[str] = Counter()
        self.latency = LatencyHistogram()

    def ended(
        self, route: str, service: str, code: int, seconds: float, *, repeatable: bool
    ) -> None:
        """Count a request that has its final answer."""
        self.codes[str(code)] += 1
        self.routes[route] += 1
        kind = "lookup" if repeatable else "at_most_once"
        self.latency.record(service, kind, seconds)
