"""A router's share of the fleet-wide retry budget of a service."""

from __future__ import annotations

from collections import deque
from typing import Final


BUCKET_S: Final = 0.5
USED_SHARE: Final = 0.5
"""Share of the budget that routers use. Calls that a retried request makes count
as retries at the service that they go to, and no router sees all of them."""


class RetryBudget:
    """Counts requests and retries of one service in a sliding window.

    The bound holds for the whole fleet: a ratio of the requests plus a constant
    slack. Every router counts its own requests, so the ratio needs no coordination
    between routers; the slack is divided by the number of routers.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Start with empty counts."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.routers = 1
        self.buckets: deque[list[float]] = deque()

    def on_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._bucket(now)[1] += 1

    def try_spend(self, now: float) -> bool:
        """Return whether a retry may be sent, and count it if so."""
        bucket = self._bucket(now)
        requests = sum(one[1] for one in self.buckets)
        retries = sum(one[2] for one in self.buckets)
        allowed = self.ratio * requests + self.slack / max(self.routers, 1)
        if retries + 1 > USED_SHARE * allowed:
            return False
        bucket[2] += 1
        return True

    def _bucket(self, now: float) -> list[float]:
        buckets = self.buckets
        while buckets and buckets[0][0] <= now - self.window_s:
            buckets.popleft()
        if not buckets or now - buckets[-1][0] >= BUCKET_S:
            buckets.append([now, 0, 0])
        return buckets[-1]
