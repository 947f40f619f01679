"""Measures the load of the local upstream for reports to the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.fleet.sync import KeyLoad


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock


MAX_COUNTED_KEYS: Final = 400
MEASURING_PERIOD_S: Final = 0.5


class LoadReport(NamedTuple):
    """Mean busy slots, requests per second, and request counts by key."""

    busy_slots: float
    requests: float
    keys: tuple[KeyLoad, ...]


class UpstreamLoad:
    """Accumulates slot time and request counts by key between reports."""

    def __init__(self, clock: Clock) -> None:
        """Start the first measuring period."""
        self.clock = clock
        self.keys: dict[int, int] = {}
        self.busy_s = 0.0
        self.requests = 0
        self.since = clock.now()

    def on_key(self, key: int) -> None:
        """Count a request for a key, for the first ``MAX_COUNTED_KEYS`` keys seen."""
        if len(self.keys) < MAX_COUNTED_KEYS or key in self.keys:
            self.keys[key] = self.keys.get(key, 0) + 1

    def on_end(self, started_at: float) -> None:
        """Count the slot time of a request that has ended."""
        self.busy_s += self.clock.now() - started_at
        self.requests += 1

    def take_report(self) -> LoadReport:
        """Return the load so far; after half a second a new period starts."""
        now = self.clock.now()
        elapsed_s = max(now - self.since, 1e-3)
        keys = tuple(KeyLoad(*item) for item in self.keys.items())
        report = LoadReport(self.busy_s / elapsed_s, self.requests / elapsed_s, keys)
        if elapsed_s >= MEASURING_PERIOD_S:
            self.since, self.busy_s, self.requests = now, 0.0, 0
        self.keys = {}
        return report
