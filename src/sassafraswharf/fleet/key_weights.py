"""Decayed request counts per key of one service."""

from __future__ import annotations

import math

from bisect import bisect_left
from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING

from sassafraswharf.fleet.values import KEY_COUNT


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.fleet.sync import KeyLoad


HALF_LIFE_S = 1.5
"""Popular keys change within minutes, keys of a popular search within seconds."""
MIN_AGE_S = 0.25
"""Requests are reported about three times a second; a shorter period gives no
usable rate."""
MIN_WEIGHT = 0.02
BASE_WEIGHT_SHARE = 0.15
"""Share of the total weight that is spread evenly over all keys, since the next
requests may be for keys without any so far."""
MIN_BASE_WEIGHT = 1.0


class KeyWeights:
    """Exponentially decayed request counts; only recently used keys take memory."""

    def __init__(self) -> None:
        """Start with equal weights."""
        self.weights: dict[int, float] = {}
        self.decayed_at: float | None = None
        self.age_s = 0.0
        self.keys: list[int] = []
        self.sums: list[float] = [0.0]
        self.base_weight_per_key = MIN_BASE_WEIGHT / KEY_COUNT
        self.sums_are_stale = False

    def add(self, loads: Iterable[KeyLoad]) -> None:
        """Count requests."""
        weights = self.weights
        for key, requests in loads:
            weights[key] = weights.get(key, 0.0) + requests
            self.sums_are_stale = True

    def refresh(self, now: float) -> None:
        """Decay the counts and rebuild the prefix sums for ``weight_between``."""
        elapsed_s = now - (self.decayed_at if self.decayed_at is not None else now)
        self.decayed_at = now
        if elapsed_s > 0:
            factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
            decayed = ((key, one * factor) for key, one in self.weights.items())
            self.weights = {key: one for key, one in decayed if one > MIN_WEIGHT}
            self.sums_are_stale = True
            self.age_s = self.age_s + elapsed_s if self.weights else 0.0
        if not self.sums_are_stale:
            return
        self.sums_are_stale = False
        self.keys = sorted(self.weights)
        self.sums = [0.0, *accumulate(self.weights[key] for key in self.keys)]
        base = max(MIN_BASE_WEIGHT, self.sums[-1] * BASE_WEIGHT_SHARE)
        self.base_weight_per_key = base / KEY_COUNT

    def rate_of(self, weight: float) -> float:
        """Return the requests per second that a weight stands for.

        Shortly after the first requests the weight is below the steady state of
        their rate, which is corrected by the age of the counts.
        """
        built_up: float = 1.0 - 0.5 ** (max(self.age_s, MIN_AGE_S) / HALF_LIFE_S)
        return weight * math.log(2) / HALF_LIFE_S / built_up

    def weight_between(self, first: int, last: int) -> float:
        """Return the weight of the keys from ``first`` to ``last``."""
        low = bisect_left(self.keys, first)
        high = bisect_right(self.keys, last)
        return (
            self.sums[high]
            - self.sums[low]
            + (last - first + 1) * self.base_weight_per_key
        )

    def last_key_within(self, first: int, last: int, weight: float) -> int:
        """Return the last key of the longest run from ``first`` of at most ``weight``.

        The result is ``first - 1`` when the first key alone weighs more.
        """
        low, high = first - 1, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.weight_between(first, middle) <= weight:
                low = middle
            else:
                high = middle - 1
        return low

    def shortest_run(
        self, first: int, last: int, weight: float
    ) -> tuple[int, int] | None:
        """Return the shortest run of keys with about this weight, or ``None``.

        Its weight is between half of ``weight`` and ``weight``. The shortest run
        keeps the number of keys that change their owner small.
        """
        low = bisect_left(self.keys, first)
        high = bisect_right(self.keys, last)
        best: tuple[int, int] | None = None
        start = low
        for end in range(low, high):
            while start <= end and self._weight_of_positions(start, end) > weight:
                start += 1
            if start > end or self._weight_of_positions(start, end) < weight / 2:
                continue
            run = (self.keys[start], self.keys[end])
            if best is None or run[1] - run[0] < best[1] - best[0]:
                best = run
        return best

    def _weight_of_positions(self, start: int, end: int) -> float:
        """Return the weight of the keys between two positions of ``keys``."""
        counted = self.sums[end + 1] - self.sums[start]
        return (
            counted + (self.keys[end] - self.keys[start] + 1) * self.base_weight_per_key
        )
