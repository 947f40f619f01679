"""Load balancing between upstreams for requests without a slot owner."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random

    from collections.abc import Sequence

    from sassafraswharf.identifiers import UpstreamId


SERVICE_TIME_WEIGHT = 0.1
RAMP_DURATION_S = 10.0
RAMP_START_SHARE = 0.1
EJECT_AFTER_FAILURES = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_DRAWS = 4
INITIAL_REFERENCE_SERVICE_S = 0.005


class UpstreamStats:
    """Load and failure statistics of one upstream, as measured by this router."""

    __slots__ = (
        "added_at",
        "consecutive_failures",
        "ejected_until",
        "in_flight",
        "service_s",
        "speed",
    )

    def __init__(self, speed: float, now: float) -> None:
        self.speed = speed
        self.added_at = now
        self.service_s: float | None = None
        self.in_flight: dict[int, float] = {}
        self.consecutive_failures = 0
        self.ejected_until = 0.0


class UpstreamChoice:
    """Power-of-two-choices load balancing by expected completion time.

    The expected completion is the smoothed service time, or the age of the
    oldest request in flight if that is longer, times the requests in flight
    plus one. The age detects a frozen upstream that finishes no requests.

    Health endpoints are not used: the choosing router observes the results of its
    own requests, while only the router on the host of the upstream could poll its
    endpoint.
    """

    def __init__(self) -> None:
        self.stats: dict[UpstreamId, UpstreamStats] = {}
        self.reference_service_s = INITIAL_REFERENCE_SERVICE_S

    def add(self, upstream: UpstreamId, speed: float, now: float) -> None:
        """Add an admitted or restarted upstream and begin its slow start."""
        self.stats[upstream] = UpstreamStats(max(speed, 1e-6), now)

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream and its statistics."""
        self.stats.pop(upstream, None)

    def choose(
        self, candidates: Sequence[UpstreamId], now: float, rng: random.Random
    ) -> UpstreamId | None:
        """Return the better of two random candidates, ``None`` if there are none.

        Candidates that are ejected after failures are drawn again a few times.
        If all drawn candidates are ejected, the best of them is used, since an
        upstream that may work is better than none.
        """
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        best = candidates[0]
        best_rank = (True, float("inf"))
        for _ in range(MAX_DRAWS):
            first = int(rng.random() * len(candidates))
            second = int(rng.random() * (len(candidates) - 1))
            second += second >= first
            for index in (first, second):
                rank = self.rank(candidates[index], now)
                if rank < best_rank:
                    best, best_rank = candidates[index], rank
            if not best_rank[0]:
                break
        return best

    def rank(self, upstream: UpstreamId, now: float) -> tuple[bool, float]:
        """Return whether the upstream is ejected and its expected completion."""
        record = self.stats.get(upstream)
        if record is None:
            return (True, float("inf"))
        service_s = record.service_s
        if service_s is None:
            service_s = self.reference_service_s / record.speed
        if record.in_flight:
            oldest_at = next(iter(record.in_flight.values()))
            service_s = max(service_s, now - oldest_at)
        cost = (
            service_s * (len(record.in_flight) + 1) * (1 + record.consecutive_failures)
        )
        age_s = now - record.added_at
        if age_s < RAMP_DURATION_S:
            cost /= (
                RAMP_START_SHARE
                + (1 - RAMP_START_SHARE) * max(age_s, 0.0) / RAMP_DURATION_S
            )
        return (record.ejected_until > now, cost)

    def on_request_sent(
        self, upstream: UpstreamId, request_id: int, now: float
    ) -> None:
        """Count a request that was sent to the upstream."""
        record = self.stats.get(upstream)
        if record is not None:
            record.in_flight[request_id] = now

    def on_request_finished(
        self, upstream: UpstreamId, request_id: int, failed: bool, now: float
    ) -> None:
        """Count the end of a request; a repeated or unknown one is ignored."""
        record = self.stats.get(upstream)
        if record is None:
            return
        started_at = record.in_flight.pop(request_id, None)
        if started_at is None:
            return
        if failed:
            self._record_failure(record, now)
            return
        service_s = max(now - started_at, 0.0)
        known_s = record.service_s
        if known_s is None:
            record.service_s = service_s
        else:
            record.service_s = known_s + SERVICE_TIME_WEIGHT * (service_s - known_s)
        self.reference_service_s += SERVICE_TIME_WEIGHT * (
            service_s * record.speed - self.reference_service_s
        )
        record.consecutive_failures = 0
        record.ejected_until = 0.0

    def on_request_cancelled(self, upstream: UpstreamId, request_id: int) -> None:
        """Drop a request that its caller cancelled, without updating the statistics."""
        record = self.stats.get(upstream)
        if record is not None:
            record.in_flight.pop(request_id, None)

    def _record_failure(self, record: UpstreamStats, now: float) -> None:
        record.consecutive_failures += 1
        excess = record.consecutive_failures - EJECT_AFTER_FAILURES
        if excess >= 0:
            ejected_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0 ** min(excess, 10))
            record.ejected_until = now + ejected_s
