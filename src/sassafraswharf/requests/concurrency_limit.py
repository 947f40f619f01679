"""How many requests an upstream is given at a time."""

from __future__ import annotations


WINDOW_S = 0.1
MIN_SAMPLES = 8
BASELINE_PERIOD_S = 15.0
TOLERATED_GROWTH = 1.5
LARGEST_DECREASE = 0.5
MAX_OPERATIONS = 256


class Baseline:
    """The smallest mean service time of the last one to two periods.

    Two periods let a lasting change of the upstream become the new baseline
    instead of limiting it for ever.
    """

    __slots__ = ("current", "previous", "started_at")

    def __init__(self, value: float, now: float) -> None:
        self.previous = value
        self.current = value
        self.started_at = now

    def update(self, value: float, now: float) -> None:
        """Take a measured mean into account."""
        if now - self.started_at >= BASELINE_PERIOD_S:
            self.previous, self.current = self.current, value
            self.started_at = now
        self.current = min(self.current, value)

    @property
    def value(self) -> float:
        """The baseline in seconds."""
        return min(self.previous, self.current)


class ConcurrencyLimit:
    """A limit at or below the declared slots that follows the service time.

    Service times are compared with the baseline of the same operation, because
    a change in the mix of operations is not a slowdown of the upstream. The
    limit decreases in proportion to the slowdown, at most by half per window,
    and recovers by one slot per window.
    """

    def __init__(self, slots: int, minimum: int = 1) -> None:
        self.slots = slots
        self.minimum = min(slots, minimum)
        self.exact = float(slots)
        self.baselines: dict[str, Baseline] = {}
        self.sums: dict[str, tuple[float, int]] = {}
        self.samples = 0
        self.failures = 0
        self.window_at: float | None = None

    @property
    def limit(self) -> int:
        """The number of requests that may be at work."""
        return int(self.exact)

    def observe(
        self, operation: str, service_s: float, failed: bool, now: float
    ) -> None:
        """Count one finished request and close the window if it is full."""
        if self.window_at is None:
            self.window_at = now
        self.samples += 1
        if failed:
            self.failures += 1
        elif operation in self.sums or len(self.sums) < MAX_OPERATIONS:
            total, count = self.sums.get(operation, (0.0, 0))
            self.sums[operation] = (total + service_s, count + 1)
        if now - self.window_at >= WINDOW_S and self.samples >= MIN_SAMPLES:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        growth = self._growth(now)
        if growth > TOLERATED_GROWTH or self.failures * 2 > self.samples:
            decrease = max(LARGEST_DECREASE, TOLERATED_GROWTH / max(growth, 1e-9))
            if self.failures * 2 > self.samples:
                decrease = LARGEST_DECREASE
            self.exact = max(float(self.minimum), self.exact * decrease)
        else:
            self.exact = min(float(self.slots), self.exact + 1.0)
        self.sums.clear()
        self.samples = self.failures = 0
        self.window_at = now

    def _growth(self, now: float) -> float:
        measured = expected = 0.0
        for operation, (total, count) in self.sums.items():
            mean = total / count
            baseline = self.baselines.get(operation)
            if baseline is None:
                if len(self.baselines) >= MAX_OPERATIONS:
                    continue
                baseline = self.baselines[operation] = Baseline(mean, now)
            baseline.update(mean, now)
            measured += total
            expected += baseline.value * count
        return measured / expected if expected > 0 else 1.0
