"""A router's share of the repeats that the whole fleet may send to a service."""

from __future__ import annotations

from collections import deque
from typing import Final


BUCKET_S: Final = 0.5
USED_SHARE: Final = 0.5
"""Share of the agreed budget that is used. Calls that a repeated request makes
count as repeats at the service that they go to, and nobody sees all of them."""


class RetryBudget:
    """Counts requests and repeats of one service in a sliding window.

    The agreed bound is one number for the fleet: a ratio of the requests and a
    slack. Every router sees its own requests, so the ratio needs no exchange
    between routers; the slack is divided by the number of routers.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Start without requests."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.routers = 1
        self.buckets: deque[list[float]] = deque()

    def on_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._bucket(now)[1] += 1

    def try_spend(self, now: float) -> bool:
        """Return whether a repeat may be sent, and count it."""
        bucket = self._bucket(now)
        requests = sum(one[1] for one in self.buckets)
        repeats = sum(one[2] for one in self.buckets)
        allowed = self.ratio * requests + self.slack / max(self.routers, 1)
        if repeats + 1 > USED_SHARE * allowed:
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
