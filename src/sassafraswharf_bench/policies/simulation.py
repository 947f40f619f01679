"""Discrete-event simulation of one service of a deployment under one policy."""

from __future__ import annotations

from collections import Counter
from collections import deque
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import TYPE_CHECKING

from sassafraswharf.requests.admission import AdmissionController
from sassafraswharf.requests.admission import Verdict
from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import ExchangeResult
from sassafraswharf.requests.priority import RequestFacts
from sassafraswharf.requests.retry_budget import RetryBudget
from sassafraswharf_bench.policies.choices import Job
from sassafraswharf_bench.policies.traffic import DEADLINE_S
from sassafraswharf_bench.policies.traffic import DURATION_S
from sassafraswharf_bench.policies.traffic import FALSE_HEALTH_WINDOW_S
from sassafraswharf_bench.policies.traffic import FREEZE_WINDOW_S
from sassafraswharf_bench.policies.traffic import HEALTH_PERIOD_S
from sassafraswharf_bench.policies.traffic import OVERLOAD_WINDOW_S
from sassafraswharf_bench.policies.traffic import WORK_S


if TYPE_CHECKING:
    from sassafraswharf_bench.policies.choices import ProductPolicy
    from sassafraswharf_bench.policies.choices import RoundRobin
    from sassafraswharf_bench.policies.traffic import Arrival
    from sassafraswharf_bench.policies.traffic import Shape


class Simulation:
    """One service of a deployment under one policy."""

    def __init__(self, shape: Shape, policy: RoundRobin | ProductPolicy) -> None:
        self.shape = shape
        self.policy = policy
        self.size = len(shape.speeds)
        self.admissions = [AdmissionController(shape.slots) for _ in shape.speeds]
        self.jobs: dict[int, Job] = {}
        self.running: list[set[Job]] = [set() for _ in shape.speeds]
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
        """Process all arrivals and return the result."""
        for arrival in arrivals:
            self.schedule(arrival.at, "arrive", arrival)
        for second in range(int(DURATION_S)):
            self.schedule(second * HEALTH_PERIOD_S, "health", second)
        handlers = {
            "arrive": self.arrive,
            "finish": self.finish,
            "timeout": self.timeout,
            "fail": self.fail,
            "health": self.health,
            "thaw": self.on_cancellation,
        }
        while self.events:
            now, _, kind, item = heappop(self.events)
            handlers[kind](item, now)  # type: ignore[operator]
        return self.result(arrivals)

    def schedule(self, when: float, kind: str, item: object) -> None:
        """Schedule an event."""
        heappush(self.events, (when, next(self.order), kind, item))

    def health(self, second: int, now: float) -> None:
        """Deliver health reports; upstream 2 is healthy but reported unhealthy."""
        del second
        false = FALSE_HEALTH_WINDOW_S[0] <= now < FALSE_HEALTH_WINDOW_S[1]
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
            load = len(self.running[upstream]) + len(self.backlog[upstream])
            if load >= self.shape.connections:
                self.record_result(job, "refused", now)
            else:
                self.start(job, now)
            return
        limit = getattr(self.policy, "service_limit", None)
        capacity = self.size * self.shape.slots
        if limit and not arrival.booking and self.outstanding > limit * capacity:
            self.record_result(job, "refused", now)
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
            self.schedule(deadline_at, "timeout", job)
        else:
            self.record_result(job, "refused", now)

    def start(self, job: Job, now: float) -> None:
        """Send an attempt to its upstream, which queues beyond its slots."""
        self.policy.started(job, now)
        job.service_at = now
        self.schedule(job.arrival.at + DEADLINE_S, "timeout", job)
        if (
            job.upstream == 1
            and FALSE_HEALTH_WINDOW_S[0] <= now < FALSE_HEALTH_WINDOW_S[1]
        ):
            self.schedule(now + 0.001, "fail", job)
        elif len(self.running[job.upstream]) < self.shape.slots:
            self.work(job, now)
        else:
            self.backlog[job.upstream].append(job)

    def work(self, job: Job, now: float) -> None:
        """Run an attempt at the upstream; a frozen upstream makes no progress."""
        self.running[job.upstream].add(job)
        service_s = job.arrival.work_s / self.shape.speeds[job.upstream]
        finished_at = now + service_s
        if (
            job.upstream == 0
            and now < FREEZE_WINDOW_S[1]
            and finished_at > FREEZE_WINDOW_S[0]
        ):
            finished_at += FREEZE_WINDOW_S[1] - max(FREEZE_WINDOW_S[0], now)
        self.busy_s[job.upstream] += service_s
        self.schedule(finished_at, "finish", job)

    def finish(self, job: Job, now: float) -> None:
        """Handle the answer to an attempt."""
        self.free_slot(job, now)
        if job.done:
            return
        self.finish_attempt(job, ExchangeResult.ANSWERED, now)
        latency_s = now - job.arrival.at
        self.record_result(job, "served", now)
        if not job.arrival.booking:
            self.latencies.append(latency_s)
        if OVERLOAD_WINDOW_S[0] <= job.arrival.at < OVERLOAD_WINDOW_S[1]:
            self.goodput += 1

    def fail(self, job: Job, now: float) -> None:
        """Handle a lost connection; a lookup is retried within the budget."""
        if job.done:
            return
        self.finish_attempt(job, ExchangeResult.CONNECTION_LOST, now)
        job.done = True
        deadline_at = job.arrival.at + DEADLINE_S
        retried = job.arrival.booking or self.shape.keyed or job.attempt > 1
        if not retried and self.budget.try_spend(now, deadline_at, WORK_S):
            other = self.policy.choose(now, job.upstream)
            self.offer(Job(job.arrival, other, job.attempt + 1), now)
        else:
            self.record_result(job, "unknown", now)

    def timeout(self, job: Job, now: float) -> None:
        """End an attempt at its deadline, and cancel it at the upstream."""
        if job.done:
            return
        job_id = job.arrival.request_id * 4 + job.attempt
        if self.jobs.pop(job_id, None) is not None:
            self.admissions[job.upstream].expire(now)
            self.record_result(job, "expired", now)
            return
        if job.service_at == 0.0 and self.policy.admits:
            return
        self.finish_attempt(job, ExchangeResult.TIMED_OUT, now)
        self.record_result(job, "unknown", now)
        frozen = job.upstream == 0 and FREEZE_WINDOW_S[0] <= now < FREEZE_WINDOW_S[1]
        if frozen:
            self.schedule(FREEZE_WINDOW_S[1], "thaw", job)
        else:
            self.on_cancellation(job, now)

    def on_cancellation(self, job: Job, now: float) -> None:
        """Cancel an attempt at the upstream."""
        if job in self.running[job.upstream]:
            self.free_slot(job, now)
        elif job in self.backlog[job.upstream]:
            self.backlog[job.upstream].remove(job)

    def free_slot(self, job: Job, now: float) -> None:
        """Free the upstream's slot and start the next attempt of its backlog."""
        if job not in self.running[job.upstream]:
            return
        self.running[job.upstream].remove(job)
        if self.backlog[job.upstream]:
            self.work(self.backlog[job.upstream].popleft(), now)

    def finish_attempt(self, job: Job, exchange: ExchangeResult, now: float) -> None:
        """Report the end of an attempt to the policy and start admitted attempts."""
        outcome = OUTCOMES[exchange]
        self.policy.finished(job, outcome.upstream_failed, now)
        if not self.policy.admits:
            return
        job_id = job.arrival.request_id * 4 + job.attempt
        admission = self.admissions[job.upstream]
        service_s = now - job.service_at
        for next_id in admission.finish(job_id, service_s, outcome, now):
            self.start(self.jobs.pop(next_id), now)

    def record_result(self, job: Job, result: str, now: float) -> None:
        """Count the result that the caller received."""
        del now
        job.done = True
        self.outstanding -= 1
        kind = "booking" if job.arrival.booking else "lookup"
        self.results[result] += 1
        self.results[f"{kind}_{result}"] += 1

    def result(self, arrivals: list[Arrival]) -> dict[str, float | int | str]:
        """Return the figures of the run."""
        bookings = sum(arrival.booking for arrival in arrivals)
        mean_s = sum(self.busy_s) / self.size
        capacity = sum(self.shape.speeds) * self.shape.slots / WORK_S
        offered_s = OVERLOAD_WINDOW_S[1] - OVERLOAD_WINDOW_S[0]
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
