"""Adaptive limit on the concurrent requests to an upstream."""

from __future__ import annotations

import math


WINDOW_S = 0.5
MIN_SAMPLES = 16
BASELINE_FALL_WEIGHT = 0.1
BASELINE_RISE_WEIGHT = 0.02
TOLERATED_GROWTH = 1.5
SIGNIFICANCE_STANDARD_ERRORS = 3.0
MIN_DECREASE_FACTOR = 0.5
RECOVERY_SHARE = 0.1
MAX_OPERATIONS = 256


class ConcurrencyLimit:
    """A concurrency limit, at most the declared slots, that follows the service time.

    Service times are compared with the baseline of the same operation, because
    a change in the mix of operations is not a slowdown of the upstream. The
    baseline falls fast and rises slowly, so that a lasting change of the
    upstream eventually becomes the new baseline. Only a slowdown beyond the
    standard error of the window counts: service times vary so much that with the
    smallest mean as baseline the limit would fall to its minimum under steady load.

    The limit decreases in proportion to the slowdown, at most by half per
    window, and recovers by a tenth of the slots per window.
    """

    def __init__(self, slots: int, minimum: int = 1) -> None:
        self.slots = slots
        self.minimum = min(slots, minimum)
        self.exact_limit = float(slots)
        self.baselines: dict[str, float] = {}
        self.operation_sums: dict[str, tuple[float, float, int]] = {}
        self.samples = 0
        self.failures = 0
        self.window_started_at: float | None = None

    @property
    def limit(self) -> int:
        """The number of requests that may run concurrently."""
        return int(self.exact_limit)

    def observe(
        self, operation: str, service_s: float, failed: bool, now: float
    ) -> None:
        """Count one finished request and close the window if it is full."""
        if self.window_started_at is None:
            self.window_started_at = now
        self.samples += 1
        if failed:
            self.failures += 1
        elif (
            operation in self.operation_sums
            or len(self.operation_sums) < MAX_OPERATIONS
        ):
            total, squares, count = self.operation_sums.get(operation, (0.0, 0.0, 0))
            squares += service_s * service_s
            self.operation_sums[operation] = (total + service_s, squares, count + 1)
        if now - self.window_started_at >= WINDOW_S and self.samples >= MIN_SAMPLES:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        growth = self._significant_growth()
        if self.failures * 2 > self.samples:
            self._decrease(MIN_DECREASE_FACTOR)
        elif growth > TOLERATED_GROWTH:
            self._decrease(max(MIN_DECREASE_FACTOR, TOLERATED_GROWTH / growth))
        else:
            recovery = max(1.0, RECOVERY_SHARE * self.slots)
            self.exact_limit = min(float(self.slots), self.exact_limit + recovery)
        self.operation_sums.clear()
        self.samples = self.failures = 0
        self.window_started_at = now

    def _decrease(self, factor: float) -> None:
        self.exact_limit = max(float(self.minimum), self.exact_limit * factor)

    def _significant_growth(self) -> float:
        """Return the statistically significant service time growth, at least 1."""
        measured = expected = variance = 0.0
        for operation, (total, squares, count) in self.operation_sums.items():
            mean = total / count
            baseline = self.baselines.get(operation)
            if baseline is None:
                if len(self.baselines) >= MAX_OPERATIONS:
                    continue
                baseline = mean
            weight = BASELINE_FALL_WEIGHT if mean < baseline else BASELINE_RISE_WEIGHT
            self.baselines[operation] = baseline + weight * (mean - baseline)
            measured += total
            expected += baseline * count
            variance += max(0.0, squares - total * mean)
        if expected <= 0:
            return 1.0
        return max(
            1.0,
            (measured - SIGNIFICANCE_STANDARD_ERRORS * math.sqrt(variance)) / expected,
        )
