"""Measures the request rate and the speed of the local upstreams."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.placement.load_view import UpstreamSample
from sassafraswharf.placement.load_view import encode_load


if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.router.upstream_runner import UpstreamRunner


RATE_WINDOW_S: Final = 1.0
SMOOTHING_FACTOR: Final = 0.4
"""Weight of the newest window; a moved hot key is visible after about 3 seconds."""
NEGLIGIBLE_RATE_PER_S: Final = 0.05
MAX_REPORTED_SLOTS: Final = 512


class UpstreamMeter:
    """Smoothed requests per second of one upstream, in total and by slot."""

    def __init__(self) -> None:
        self.total = 0.0
        self.by_slot: dict[int, float] = {}

    def add_window(self, counts: Counter[int], elapsed_s: float) -> None:
        """Update the averages with the requests of one window."""
        rate = counts.total() / elapsed_s
        self.total += SMOOTHING_FACTOR * (rate - self.total)
        smoothed = {
            slot: old * (1 - SMOOTHING_FACTOR)
            for slot, old in self.by_slot.items()
            if old > NEGLIGIBLE_RATE_PER_S
        }
        for slot, count in counts.items():
            if slot >= 0:
                smoothed[slot] = (
                    smoothed.get(slot, 0.0) + SMOOTHING_FACTOR * count / elapsed_s
                )
        hottest = sorted(smoothed.items(), key=lambda item: -item[1])[
            :MAX_REPORTED_SLOTS
        ]
        self.by_slot = dict(hottest)


class LoadMeter:
    """Creates the load report that is sent with each lease renewal.

    The speed of an upstream is its slots divided by its measured service time,
    so a slow upstream is visible as slow before it is overloaded.
    """

    def __init__(self, runners: Mapping[UpstreamId, UpstreamRunner]) -> None:
        self.runners = runners
        self.meters: dict[UpstreamId, UpstreamMeter] = {}
        self.window_started_at: float | None = None
        self.encoded_report = b""

    def report(self, now: float) -> bytes:
        """Return the encoded report, recomputed once per second."""
        if self.window_started_at is None:
            self.window_started_at = now
        elapsed_s = now - self.window_started_at
        if elapsed_s >= RATE_WINDOW_S:
            self.window_started_at = now
            self.encoded_report = encode_load(
                [
                    self.sample(name, runner, elapsed_s)
                    for name, runner in self.runners.items()
                ]
            )
            for name in set(self.meters) - set(self.runners):
                del self.meters[name]
        return self.encoded_report

    def sample(
        self, name: UpstreamId, runner: UpstreamRunner, elapsed_s: float
    ) -> UpstreamSample:
        """End the window of one upstream and return its rates and speed."""
        meter = self.meters.setdefault(name, UpstreamMeter())
        counts, runner.served_by_slot = runner.served_by_slot, Counter()
        meter.add_window(counts, elapsed_s)
        speed = 0.0
        if meter.total > NEGLIGIBLE_RATE_PER_S:
            speed = runner.admission.slots / max(runner.admission.service_s, 1e-6)
        return UpstreamSample(name, meter.total, speed, list(meter.by_slot.items()))
