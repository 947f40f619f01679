"""Load balancing: selects the upstream of a service for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final


if TYPE_CHECKING:
    import random

    from collections.abc import Sequence

    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.work import LoadHint


SAMPLE_SIZE: Final = 3
INITIAL_SERVICE_S: Final = 0.06
HINT_MAX_AGE_S: Final = 1.0
SAME_ZONE_SAMPLES: Final = 2
"""Upstreams in a sample that come from the router's own availability zone, if it
has as many."""
ZONE_PENALTY_S: Final = 0.03
"""Expected time added to upstreams in other availability zones. The round trip
between zones takes about two milliseconds, and its traffic is billed. Above this
difference a shorter queue counts more."""
FULL_LOAD_SLOWDOWN: Final = 0.5
"""Relative slowdown of an upstream whose slots are all in use."""
EJECTION_S: Final = 0.4
MAX_EJECTION_S: Final = 6.0
MAX_EJECTION_DOUBLINGS: Final = 4


class UpstreamStats:
    """Load and failures of one upstream, as this router knows them."""

    __slots__ = (
        "ejected_until",
        "failures",
        "hint_at",
        "limit",
        "load",
        "outstanding",
        "outstanding_at_hint",
        "service_s",
    )

    def __init__(self, slots: int) -> None:
        """Start with no load reported."""
        self.limit = max(slots, 1)
        self.load = 0
        self.service_s = INITIAL_SERVICE_S
        self.hint_at = 0.0
        self.outstanding = 0
        self.outstanding_at_hint = 0
        self.failures = 0
        self.ejected_until = 0.0


class UpstreamChooser:
    """Picks the upstream with the least expected time from a random sample.

    Every router chooses independently. Answers carry the load of their upstream;
    since the last one, this router adds the requests that it has sent itself.
    Sampling keeps the routers from all choosing the same upstream at once.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Choose for a router in the availability zone ``zone``."""
        self.zone = zone
        self.rng = rng
        self.stats_by_instance: dict[Instance, UpstreamStats] = {}

    def stats_of(self, upstream: Upstream) -> UpstreamStats:
        """Return the statistics of an upstream, created on first use."""
        stats = self.stats_by_instance.get(upstream.instance)
        if stats is None:
            stats = self.stats_by_instance[upstream.instance] = UpstreamStats(
                upstream.slots
            )
        return stats

    def keep_only(self, instances: set[Instance]) -> None:
        """Discard the statistics of upstreams that are not in ``instances``."""
        for gone in self.stats_by_instance.keys() - instances:
            del self.stats_by_instance[gone]

    def choose(
        self, candidates: Sequence[Upstream], tried: set[Instance], now: float
    ) -> Upstream | None:
        """Return an upstream that is not in ``tried``, ``None`` if there is none."""
        untried = [one for one in candidates if one.instance not in tried]
        open_ones = [one for one in untried if one.takes_work] or [
            one for one in untried if one.restarting and not one.draining
        ]
        if not open_ones:
            return None
        usable = [one for one in open_ones if self.stats_of(one).ejected_until <= now]
        sampled = self.draw_sample(usable or open_ones)
        return min(sampled, key=lambda one: self.expected_s(one, now))

    def draw_sample(self, pool: list[Upstream]) -> list[Upstream]:
        """Return a random sample of upstreams, preferring the router's own zone."""
        if len(pool) <= SAMPLE_SIZE:
            return pool
        same_zone = [one for one in pool if one.zone == self.zone]
        other_zones = [one for one in pool if one.zone != self.zone]
        count = min(
            len(same_zone), max(SAME_ZONE_SAMPLES, SAMPLE_SIZE - len(other_zones))
        )
        return self.rng.sample(same_zone, count) + self.rng.sample(
            other_zones, SAMPLE_SIZE - count
        )

    def expected_s(self, upstream: Upstream, now: float) -> float:
        """Return the expected time until an answer, in seconds."""
        stats = self.stats_of(upstream)
        load: float = stats.outstanding
        if now - stats.hint_at < HINT_MAX_AGE_S:
            sent_since = stats.outstanding - stats.outstanding_at_hint
            load = max(load, stats.load + sent_since)
        share = load / stats.limit
        queued = max(0.0, share - 1.0 + 1.0 / stats.limit)
        work_s = stats.service_s * (
            1.0 + FULL_LOAD_SLOWDOWN * min(share, 1.0) ** 2 + queued
        )
        penalty_s = 0.0 if upstream.zone == self.zone else ZONE_PENALTY_S
        return work_s * (1 + stats.failures) + penalty_s

    def on_sent(self, upstream: Upstream) -> None:
        """Count a request that is sent to an upstream."""
        self.stats_of(upstream).outstanding += 1

    def on_finished(self, upstream: Upstream) -> None:
        """Count the end of a request, with any outcome."""
        stats = self.stats_by_instance.get(upstream.instance)
        if stats is not None and stats.outstanding:
            stats.outstanding -= 1

    def on_hint(self, instance: Instance, hint: LoadHint, now: float) -> None:
        """Record the load that an answer carried."""
        stats = self.stats_by_instance.get(instance)
        if stats is None:
            return
        stats.load = hint.running + hint.waiting
        stats.limit = max(hint.limit, 1)
        stats.service_s = hint.service_s
        stats.hint_at = now
        stats.outstanding_at_hint = stats.outstanding

    def on_success(self, instance: Instance) -> None:
        """End the ejection of an upstream."""
        stats = self.stats_by_instance.get(instance)
        if stats is not None:
            stats.failures = 0
            stats.ejected_until = 0.0

    def on_failure(self, instance: Instance, now: float) -> None:
        """Eject an upstream for a time that doubles with each failure."""
        stats = self.stats_by_instance.get(instance)
        if stats is None:
            return
        doublings = min(stats.failures, MAX_EJECTION_DOUBLINGS)
        stats.failures = min(stats.failures + 1, MAX_EJECTION_DOUBLINGS)
        stats.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2**doublings)
