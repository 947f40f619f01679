"""Compares admission and upstream choice with simple policies, in virtual time.

It drives the pure policy with discrete events and the same arrivals for each
policy, and prints one JSON line per deployment and policy, then the wall-clock
cost of single decisions::

    python -m sassafraswharf_bench.policy_compare --seed 1

The arrivals are open loop. One upstream of four times the speed is beside
slower ones, the hot keys move every 10 s, one upstream freezes for 4 s, one
fails all requests while its health endpoint reports no fault and another one
reports a fault it does not have. At the end the load is 1.5 times the capacity.
"""

from __future__ import annotations

import argparse
import json
import random
import sys

from collections import Counter
from collections import deque
from heapq import heappop
from heapq import heappush
from itertools import accumulate
from itertools import count
from typing import NamedTuple
from typing import Protocol

from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.requests.admission import Admission
from sassafraswharf.requests.admission import Verdict
from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import Exchange
from sassafraswharf.requests.retry_budget import RetryBudget
from sassafraswharf.requests.upstream_choice import UpstreamChoice
from sassafraswharf.requests.urgency import RequestFacts
from sassafraswharf_bench.decision_cost import decision_costs


WORK_S = 0.05
DEADLINE_S = 1.0
DURATION_S = 40.0
FROZEN = (8.0, 12.0)
FALSE_HEALTH = (16.0, 22.0)
OVERLOAD = (28.0, 38.0)
NORMAL_LOAD = 0.6
OVERLOAD_FACTOR = 1.5
BOOKING_SHARE = 0.25
KEYS = 1000
HOT_SET_S = 10.0
HEALTH_PERIOD_S = 1.0


class Shape(NamedTuple):
    """A service of a deployment: its endpoints, their slots and connections."""

    deployment: str
    service: ServiceName
    keyed: bool
    speeds: tuple[float, ...]
    slots: int
    connections: int


SHAPES = (
    Shape("comhairle", ServiceName("diary"), True, (1, 1, 2, 3, 4), 10, 130),
    Shape("comhairle", ServiceName("booking"), False, (1, 1, 2, 3, 4), 10, 130),
    Shape("nilebridge", ServiceName("tickets"), True, (1, 1, 2, 4), 20, 110),
    Shape("nilebridge", ServiceName("workshop"), False, (1, 1, 2, 4), 20, 110),
)


class Arrival(NamedTuple):
    """A request as all policies receive it."""

    request_id: int
    at: float
    booking: bool
    work_s: float
    owner: int


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
    """Where a lookup of a service without key goes."""

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
    """Each healthy upstream in turn."""

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
        """Believe the health endpoint."""
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


class Own:
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
        self.choice.started(self.names[job.upstream], id(job), now)

    def finished(self, job: Job, failed: bool, now: float) -> None:
        """Count the end of an attempt."""
        self.choice.finished(self.names[job.upstream], id(job), failed, now)

    def health(self, upstream: int, healthy: bool) -> None:
        """Ignore the report, as the product does."""


class OwnWithServiceLimit(Own):
    """As above, with a limit on the unprocessed work of the whole service."""

    service_limit = 1.5


POLICIES: dict[str, type[RoundRobin | Own]] = {
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "sassafraswharf": Own,
    "sassafraswharf_service_limit": OwnWithServiceLimit,
}


class Simulation:
    """One service of a deployment under one policy."""

    def __init__(self, shape: Shape, policy: RoundRobin | Own) -> None:
        self.shape = shape
        self.policy = policy
        self.size = len(shape.speeds)
        self.admissions = [Admission(shape.slots) for _ in shape.speeds]
        self.jobs: dict[int, Job] = {}
        self.working: list[set[Job]] = [set() for _ in shape.speeds]
        self.backlog: list[deque[Job]] = [deque() for _ in shape.speeds]
        self.busy_s = [0.0] * self.size
        self.events: list[tuple[float, int, str, object]] = []
        self.order = count()
        self.results: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.goodput = 0
        self.budget = RetryBudget(0.0)
        self.outstanding = 0

    def run(self, arrivals: list[Arrival]) -> dict[str, float | int | str]:
        """Play all arrivals and return the measures."""
        for arrival in arrivals:
            self.at(arrival.at, "arrive", arrival)
        for second in range(int(DURATION_S)):
            self.at(second * HEALTH_PERIOD_S, "health", second)
        handlers = {
            "arrive": self.arrive,
            "finish": self.finish,
            "timeout": self.timeout,
            "fail": self.fail,
            "health": self.health,
            "thaw": self.thaw,
        }
        while self.events:
            now, _, kind, item = heappop(self.events)
            handlers[kind](item, now)  # type: ignore[operator]
        return self.measures(arrivals)

    def at(self, when: float, kind: str, item: object) -> None:
        """Schedule an event."""
        heappush(self.events, (when, next(self.order), kind, item))

    def health(self, second: int, now: float) -> None:
        """Deliver the health reports: the healthy upstream 2 looks faulty."""
        del second
        false = FALSE_HEALTH[0] <= now < FALSE_HEALTH[1]
        self.policy.health(2, not false)

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Choose an upstream for a request that has arrived."""
        self.budget.on_request(now)
        owned = self.shape.keyed or (arrival.booking and self.policy.admits)
        upstream = arrival.owner if owned else self.policy.choose(now, None)
        self.outstanding += 1
        self.offer(Job(arrival, upstream, 1), now)

    def offer(self, job: Job, now: float) -> None:
        """Admit, queue or refuse an attempt."""
        arrival = job.arrival
        deadline_at = arrival.at + DEADLINE_S
        if not self.policy.admits:
            upstream = job.upstream
            load = len(self.working[upstream]) + len(self.backlog[upstream])
            if load >= self.shape.connections:
                self.end(job, "refused", now)
            else:
                self.start(job, now)
            return
        limit = getattr(self.policy, "service_limit", None)
        capacity = self.size * self.shape.slots
        if limit and not arrival.booking and self.outstanding > limit * capacity:
            self.end(job, "refused", now)
            return
        facts = RequestFacts(
            self.shape.service,
            "booking" if arrival.booking else "lookup",
            not arrival.booking,
            0,
            deadline_at,
            None,
            arrival.at,
        )
        job_id = arrival.request_id * 4 + job.attempt
        admission = self.admissions[job.upstream]
        verdict = admission.offer(job_id, facts, now).verdict
        if verdict is Verdict.RUN:
            self.start(job, now)
        elif verdict is Verdict.WAIT:
            self.jobs[job_id] = job
            self.at(deadline_at, "timeout", job)
        else:
            self.end(job, "refused", now)

    def start(self, job: Job, now: float) -> None:
        """Send an attempt to its upstream, which queues beyond its slots."""
        self.policy.started(job, now)
        job.service_at = now
        self.at(job.arrival.at + DEADLINE_S, "timeout", job)
        if job.upstream == 1 and FALSE_HEALTH[0] <= now < FALSE_HEALTH[1]:
            self.at(now + 0.001, "fail", job)
        elif len(self.working[job.upstream]) < self.shape.slots:
            self.work(job, now)
        else:
            self.backlog[job.upstream].append(job)

    def work(self, job: Job, now: float) -> None:
        """Let the upstream work on an attempt; a frozen one makes no progress."""
        self.working[job.upstream].add(job)
        service_s = job.arrival.work_s / self.shape.speeds[job.upstream]
        finished_at = now + service_s
        if job.upstream == 0 and now < FROZEN[1] and finished_at > FROZEN[0]:
            finished_at += FROZEN[1] - max(FROZEN[0], now)
        self.busy_s[job.upstream] += service_s
        self.at(finished_at, "finish", job)

    def finish(self, job: Job, now: float) -> None:
        """Take the answer of an attempt."""
        self.leave(job, now)
        if job.done:
            return
        self.release(job, Exchange.ANSWERED, now)
        latency_s = now - job.arrival.at
        self.end(job, "served", now)
        if not job.arrival.booking:
            self.latencies.append(latency_s)
        if OVERLOAD[0] <= job.arrival.at < OVERLOAD[1]:
            self.goodput += 1

    def fail(self, job: Job, now: float) -> None:
        """Handle a lost connection; a lookup is retried within the budget."""
        if job.done:
            return
        self.release(job, Exchange.CONNECTION_LOST, now)
        job.done = True
        deadline_at = job.arrival.at + DEADLINE_S
        retried = job.arrival.booking or self.shape.keyed or job.attempt > 1
        if not retried and self.budget.try_spend(now, deadline_at, WORK_S):
            other = self.policy.choose(now, job.upstream)
            self.offer(Job(job.arrival, other, job.attempt + 1), now)
        else:
            self.end(job, "unknown", now)

    def timeout(self, job: Job, now: float) -> None:
        """End an attempt at its deadline, and cancel it at the upstream."""
        if job.done:
            return
        job_id = job.arrival.request_id * 4 + job.attempt
        if self.jobs.pop(job_id, None) is not None:
            self.admissions[job.upstream].expire(now)
            self.end(job, "expired", now)
            return
        if job.service_at == 0.0 and self.policy.admits:
            return
        self.release(job, Exchange.TIMED_OUT, now)
        self.end(job, "unknown", now)
        frozen = job.upstream == 0 and FROZEN[0] <= now < FROZEN[1]
        if frozen:
            self.at(FROZEN[1], "thaw", job)
        else:
            self.thaw(job, now)

    def thaw(self, job: Job, now: float) -> None:
        """Let the upstream see that a request was cancelled."""
        if job in self.working[job.upstream]:
            self.leave(job, now)
        elif job in self.backlog[job.upstream]:
            self.backlog[job.upstream].remove(job)

    def leave(self, job: Job, now: float) -> None:
        """Free the upstream's own slot and take the next of its backlog."""
        if job not in self.working[job.upstream]:
            return
        self.working[job.upstream].remove(job)
        if self.backlog[job.upstream]:
            self.work(self.backlog[job.upstream].popleft(), now)

    def release(self, job: Job, exchange: Exchange, now: float) -> None:
        """Report the end of an attempt to the policy and start what follows."""
        outcome = OUTCOMES[exchange]
        self.policy.finished(job, outcome.upstream_failed, now)
        if not self.policy.admits:
            return
        job_id = job.arrival.request_id * 4 + job.attempt
        admission = self.admissions[job.upstream]
        service_s = now - job.service_at
        for next_id in admission.finished(job_id, service_s, outcome, now):
            self.start(self.jobs.pop(next_id), now)

    def end(self, job: Job, result: str, now: float) -> None:
        """Count the answer to the caller."""
        del now
        job.done = True
        self.outstanding -= 1
        kind = "booking" if job.arrival.booking else "lookup"
        self.results[result] += 1
        self.results[f"{kind}_{result}"] += 1

    def measures(self, arrivals: list[Arrival]) -> dict[str, float | int | str]:
        """Return the figures of the run."""
        bookings = sum(arrival.booking for arrival in arrivals)
        mean_s = sum(self.busy_s) / self.size
        capacity = sum(self.shape.speeds) * self.shape.slots / WORK_S
        offered_s = OVERLOAD[1] - OVERLOAD[0]
        latencies = sorted(self.latencies)
        return {
            "arrivals": len(arrivals),
            "lookup_p50_ms": round(latencies[len(latencies) // 2] * 1000, 1),
            "lookup_p99_ms": round(latencies[len(latencies) * 99 // 100] * 1000, 1),
            "lookups_served": round(
                self.results["lookup_served"] / (len(arrivals) - bookings), 4
            ),
            "bookings_served": round(self.results["booking_served"] / bookings, 4),
            "overload_goodput": round(self.goodput / offered_s / capacity, 3),
            "imbalance": round(max(self.busy_s) / mean_s, 2),
            "refused": self.results["refused"] + self.results["expired"],
            "bookings_not_run": self.results["booking_refused"]
            + self.results["booking_expired"],
            "unknown": self.results["unknown"],
            "bookings_unknown": self.results["booking_unknown"],
        }


def arrivals_of(shape: Shape, seed: int) -> list[Arrival]:
    """Return the open-loop arrivals of a service, the same for each policy."""
    rng = random.Random(f"{seed}-{shape.deployment}-{shape.service}")
    capacity = sum(shape.speeds) * shape.slots / WORK_S
    owner_of_key = rng.choices(range(len(shape.speeds)), shape.speeds, k=KEYS)
    weights = list(accumulate(1 / (rank + 10) for rank in range(KEYS)))
    arrivals: list[Arrival] = []
    now = 0.0
    for request_id in count():
        overload = OVERLOAD[0] <= now < OVERLOAD[1]
        rate = capacity * (OVERLOAD_FACTOR if overload else NORMAL_LOAD)
        now += rng.expovariate(rate)
        if now >= DURATION_S:
            return arrivals
        rank = rng.choices(range(KEYS), cum_weights=weights)[0]
        key = (rank + 331 * int(now / HOT_SET_S)) % KEYS
        booking = rng.random() < BOOKING_SHARE
        work_s = rng.expovariate(1 / WORK_S)
        arrivals.append(Arrival(request_id, now, booking, work_s, owner_of_key[key]))
    return arrivals


def main() -> None:
    """Print the comparison and the cost of decisions as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for shape in SHAPES:
        arrivals = arrivals_of(shape, seed)
        for name, policy in POLICIES.items():
            measures = Simulation(shape, policy(shape)).run(arrivals)
            line = {
                "deployment": shape.deployment,
                "service": shape.service,
                "policy": name,
                "seed": seed,
                **measures,
            }
            sys.stdout.write(json.dumps(line) + "\n")
    for line in decision_costs():
        sys.stdout.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    main()
