"""The compared policies: two simple baselines and the product's own."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Protocol

from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.requests.upstream_choice import UpstreamChoice


if TYPE_CHECKING:
    from sassafraswharf_bench.policies.traffic import Arrival
    from sassafraswharf_bench.policies.traffic import Shape


class Job:
    """An attempt at an upstream."""

    __slots__ = ("arrival", "attempt", "done", "service_at", "upstream")

    def __init__(self, arrival: Arrival, upstream: int, attempt: int) -> None:
        self.arrival = arrival
        self.upstream = upstream
        self.attempt = attempt
        self.service_at = 0.0
        self.done = False


class Policy(Protocol):
    """Choice of the upstream for a lookup of a service without key."""

    admits: bool

    def choose(self, now: float, avoid: int | None) -> int:
        """Return the index of an upstream."""

    def started(self, job: Job, now: float) -> None:
        """Count an attempt."""

    def finished(self, job: Job, failed: bool, now: float) -> None:
        """Count the end of an attempt."""

    def health(self, upstream: int, healthy: bool) -> None:
        """Use a report of a health endpoint."""


class RoundRobin:
    """Healthy upstreams in rotation."""

    admits = False

    def __init__(self, shape: Shape) -> None:
        self.size = len(shape.speeds)
        self.turn = 0
        self.healthy = [True] * self.size

    def choose(self, now: float, avoid: int | None) -> int:  # noqa: ARG002
        """Return the next upstream that its health endpoint calls healthy."""
        for _ in range(self.size):
            self.turn = (self.turn + 1) % self.size
            if self.healthy[self.turn] and self.turn != avoid:
                break
        return self.turn

    def started(self, job: Job, now: float) -> None:
        """Do nothing."""

    def finished(self, job: Job, failed: bool, now: float) -> None:
        """Do nothing."""

    def health(self, upstream: int, healthy: bool) -> None:
        """Store the reported health."""
        self.healthy[upstream] = healthy


class LeastOutstanding(RoundRobin):
    """The healthy upstream with the fewest attempts in flight."""

    def __init__(self, shape: Shape) -> None:
        super().__init__(shape)
        self.outstanding = [0] * self.size

    def choose(self, now: float, avoid: int | None) -> int:  # noqa: ARG002
        """Return the healthy upstream with the fewest attempts in flight."""
        usable = [i for i in range(self.size) if self.healthy[i] and i != avoid]
        return min(usable or range(self.size), key=self.outstanding.__getitem__)

    def started(self, job: Job, now: float) -> None:  # noqa: ARG002
        """Count an attempt in flight."""
        self.outstanding[job.upstream] += 1

    def finished(self, job: Job, failed: bool, now: float) -> None:  # noqa: ARG002
        """Count the end of an attempt."""
        self.outstanding[job.upstream] -= 1


class ProductPolicy:
    """Admission and choice of the product."""

    admits = True
    service_limit: float | None = None

    def __init__(self, shape: Shape) -> None:
        self.rng = random.Random(3)
        self.names = [UpstreamId(str(i)) for i in range(len(shape.speeds))]
        self.choice = UpstreamChoice()
        for name, speed in zip(self.names, shape.speeds, strict=True):
            self.choice.add(name, speed, -60.0)

    def choose(self, now: float, avoid: int | None) -> int:
        """Return the better of two upstreams."""
        names = self.names
        if avoid is not None:
            names = names[:avoid] + names[avoid + 1 :]
        return int(self.choice.choose(names, now, self.rng) or 0)

    def started(self, job: Job, now: float) -> None:
        """Count an attempt in flight."""
        self.choice.on_request_sent(self.names[job.upstream], id(job), now)

    def finished(self, job: Job, failed: bool, now: float) -> None:
        """Count the end of an attempt."""
        self.choice.on_request_finished(self.names[job.upstream], id(job), failed, now)

    def health(self, upstream: int, healthy: bool) -> None:
        """Ignore the report, as the product does."""


class ProductPolicyWithServiceLimit(ProductPolicy):
    """The product's policy with a limit on outstanding requests per service."""

    service_limit = 1.5


POLICIES: dict[str, type[RoundRobin | ProductPolicy]] = {
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "sassafraswharf": ProductPolicy,
    "sassafraswharf_service_limit": ProductPolicyWithServiceLimit,
}
