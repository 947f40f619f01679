"""Admission control: which requests of an upstream run, wait or are refused."""

from __future__ import annotations

from enum import Enum
from enum import auto
from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.requests.concurrency_limit import ConcurrencyLimit
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.requests.priority import Priority


if TYPE_CHECKING:
    from sassafraswharf.requests.outcome import Outcome
    from sassafraswharf.requests.priority import RequestFacts


# Queue capacity per concurrency slot. A longer queue would only delay the
# refusal, since requests would wait for more than a few service times.
QUEUE_PLACES_PER_SLOT = {
    Priority.NESTED: 4,
    Priority.AT_MOST_ONCE: 4,
    Priority.LOOKUP: 2,
}
MAX_CONSECUTIVE_NESTED = 8
AT_MOST_ONCE_PER_LOOKUP = 3
# The order in which the classes are considered for the next start. The key says
# whether nested calls and at-most-once requests have used up their streaks.
START_ORDER = {
    (False, False): (Priority.NESTED, Priority.AT_MOST_ONCE, Priority.LOOKUP),
    (False, True): (Priority.NESTED, Priority.LOOKUP, Priority.AT_MOST_ONCE),
    (True, False): (Priority.AT_MOST_ONCE, Priority.LOOKUP, Priority.NESTED),
    (True, True): (Priority.LOOKUP, Priority.AT_MOST_ONCE, Priority.NESTED),
}
QUEUE_DELAY_TARGET_S = 0.02
QUEUE_DELAY_INTERVAL_S = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.005


class Verdict(Enum):
    """The admission result for an offered request."""

    RUN = auto()
    WAIT = auto()
    REFUSE = auto()
    EXPIRED = auto()


class AdmissionDecision(NamedTuple):
    """A verdict; ``retry_after_s`` is positive only for a refusal."""

    verdict: Verdict
    retry_after_s: float = 0.0


class Ticket(NamedTuple):
    """A waiting or running request."""

    request_id: int
    facts: RequestFacts
    priority: Priority
    queued_at: float
    solo: bool


Queue = list[tuple[int, float, int]]
"""A heap of negated depth, deadline and request id."""


class AdmissionController:
    """Admission control for one upstream.

    The number of running requests stays within the concurrency limit. Within a
    class the request with the earliest deadline starts first. Nested calls have
    priority, with at most eight consecutive starts while others wait. While both
    wait, at-most-once requests get three of four of the remaining starts and
    lookups one of four. A waiting request is never evicted: it starts, expires
    or is cancelled. Under overload (queue delay above 20 ms,
    or one service time if longer, for 100 ms) the queue capacity for lookups
    drops to a quarter of the slots.

    ``nested_levels`` above 0 is for services in a call cycle. Each level
    reserves a slot for calls of at least its depth, which may use the declared
    slots even when the adaptive limit is lower; deeper calls never wait. A nested
    call therefore can't deadlock with its own parents. The deepest nested call
    starts first: if there is no slot for it, there is none for the others.

    Request ids must be unique for the lifetime of the controller.

    A solo request (a quarantine suspect) starts when no other request is
    running, and no other request starts while it runs. While it waits, only
    nested calls start, since the requests it waits for may depend on them.
    """

    def __init__(self, slots: int, nested_levels: int = 0) -> None:
        self.slots = slots
        self.nested_levels = min(nested_levels, slots - 1)
        self.limit = ConcurrencyLimit(slots, 1 + self.nested_levels)
        self.running: dict[int, Ticket] = {}
        self.running_by_level = [0] * (self.nested_levels + 1)
        self.waiting: dict[int, Ticket] = {}
        self.queues: dict[Priority, Queue] = {priority: [] for priority in Priority}
        self.solo_queue: Queue = []
        self.waiting_counts = [0] * len(Priority)
        self.expired: list[int] = []
        self.solo_running = False
        self.nested_streak = 0
        self.at_most_once_streak = 0
        self.service_s = INITIAL_SERVICE_TIME_S
        self.delayed_since: float | None = None

    def offer(
        self, request_id: int, facts: RequestFacts, now: float, solo: bool = False
    ) -> AdmissionDecision:
        """Decide whether an incoming request runs, waits or is refused.

        After ``WAIT`` the id is returned later by one of the other methods:
        to start it, or by :meth:`expire` as expired. A refused or expired
        request was not run.
        """
        if facts.deadline_at <= now:
            return AdmissionDecision(Verdict.EXPIRED)
        ticket = Ticket(request_id, facts, facts.priority, now, solo)
        if self._starts_at_once(ticket):
            self._start(ticket, now)
            return AdmissionDecision(Verdict.RUN)
        wait_s = self.expected_wait_s(ticket.priority)
        if not self._may_wait(ticket, wait_s, now):
            retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
            return AdmissionDecision(Verdict.REFUSE, retry_s)
        self.waiting[request_id] = ticket
        queue = self.solo_queue if solo else self.queues[ticket.priority]
        heappush(queue, (-facts.nested_depth, facts.deadline_at, request_id))
        self.waiting_counts[ticket.priority] += 1
        return AdmissionDecision(Verdict.WAIT)

    def finish(
        self, request_id: int, service_s: float, outcome: Outcome, now: float
    ) -> list[int]:
        """Free the slot of a request and return the ids to start next."""
        ticket = self._release(request_id)
        if ticket is None:
            return []
        if outcome.kind is not OutcomeKind.NOT_RUN:
            self.service_s += SERVICE_TIME_WEIGHT * (service_s - self.service_s)
            self.limit.observe(
                ticket.facts.operation, service_s, outcome.upstream_failed, now
            )
        return self._start_waiting(now)

    def cancel(self, request_id: int, now: float) -> list[int]:
        """Drop a waiting or running request and return the ids to start next."""
        ticket = self.waiting.pop(request_id, None)
        if ticket is not None:
            self.waiting_counts[ticket.priority] -= 1
        else:
            self._release(request_id)
        return self._start_waiting(now)

    def expire(self, now: float) -> list[int]:
        """Remove and return the waiting requests whose deadline has passed."""
        for ticket in list(self.waiting.values()):
            if ticket.facts.deadline_at <= now:
                self._expire(ticket)
        expired, self.expired = self.expired, []
        return expired

    def withdraw_all(self) -> list[int]:
        """Remove and return all waiting requests, for a drain or a handover."""
        withdrawn = list(self.waiting)
        self.waiting.clear()
        for queue in (*self.queues.values(), self.solo_queue):
            queue.clear()
        self.waiting_counts = [0] * len(Priority)
        return withdrawn

    @property
    def next_expiry_at(self) -> float | None:
        """The earliest deadline of the waiting requests, ``None`` if none wait."""
        deadlines = (ticket.facts.deadline_at for ticket in self.waiting.values())
        return min(deadlines, default=None)

    def expected_wait_s(self, priority: Priority) -> float:
        """Return the expected queue delay behind the requests that start earlier."""
        ahead = 1 + sum(self.waiting_counts[: priority + 1])
        return ahead * self.service_s / max(1, self.limit.limit)

    def is_overloaded(self, now: float) -> bool:
        """Return whether the queue delay exceeded its target for a whole interval."""
        if not self.waiting or self.delayed_since is None:
            return False
        return now - self.delayed_since >= QUEUE_DELAY_INTERVAL_S

    def _starts_at_once(self, ticket: Ticket) -> bool:
        if ticket.solo:
            return not self.running and not self.waiting
        if not self._fits(ticket.facts):
            return False
        if not ticket.facts.nested:
            return not self.waiting
        head = self._head(self.queues[Priority.NESTED], ticket.queued_at)
        return head is None or ticket.facts.nested_depth > head.facts.nested_depth

    def _may_wait(self, ticket: Ticket, wait_s: float, now: float) -> bool:
        facts = ticket.facts
        priority = ticket.priority
        if self.nested_levels and facts.nested_depth > self.nested_levels:
            return False
        if facts.deadline_at - now < wait_s + self.service_s:
            return False
        places = QUEUE_PLACES_PER_SLOT[priority] * self.slots
        if priority is Priority.LOOKUP and self.is_overloaded(now):
            places = max(1, self.slots // (1 + AT_MOST_ONCE_PER_LOOKUP))
        return self.waiting_counts[priority] < places

    def _fits(self, facts: RequestFacts) -> bool:
        if self.solo_running:
            return False
        running_count = len(self.running)
        if not self.nested_levels:
            return running_count < self.limit.limit
        if running_count >= self.slots:
            return False
        if not facts.nested and running_count >= self.limit.limit:
            return False
        level = min(facts.nested_depth, self.nested_levels)
        below = sum(self.running_by_level[:level])
        for upper in range(level, self.nested_levels):
            below += self.running_by_level[upper]
            if below >= self.slots - (self.nested_levels - upper):
                return False
        return True

    def _start(self, ticket: Ticket, now: float) -> None:
        self.running[ticket.request_id] = ticket
        level = min(ticket.facts.nested_depth, self.nested_levels)
        self.running_by_level[level] += 1
        self.solo_running = ticket.solo
        self._track_queue_delay(ticket, now)
        priority = ticket.priority
        nested = priority is Priority.NESTED
        self.nested_streak = self.nested_streak + 1 if nested else 0
        if priority is Priority.AT_MOST_ONCE:
            self.at_most_once_streak += 1
        elif priority is Priority.LOOKUP:
            self.at_most_once_streak = 0

    def _track_queue_delay(self, ticket: Ticket, now: float) -> None:
        # Nested calls and at-most-once requests have priority over lookups, so a
        # short wait of theirs does not imply a short wait for lookups.
        priority = ticket.priority
        if ticket.solo or priority is Priority.NESTED:
            return
        if now - ticket.queued_at >= max(QUEUE_DELAY_TARGET_S, self.service_s):
            if self.delayed_since is None:
                self.delayed_since = now
        elif priority is Priority.LOOKUP:
            self.delayed_since = None

    def _release(self, request_id: int) -> Ticket | None:
        ticket = self.running.pop(request_id, None)
        if ticket is not None:
            level = min(ticket.facts.nested_depth, self.nested_levels)
            self.running_by_level[level] -= 1
            if ticket.solo:
                self.solo_running = False
        return ticket

    def _start_waiting(self, now: float) -> list[int]:
        started: list[int] = []
        while (queue := self._next_queue(now)) is not None:
            ticket = self.waiting.pop(heappop(queue)[2])
            self.waiting_counts[ticket.priority] -= 1
            self._start(ticket, now)
            started.append(ticket.request_id)
        if not self.waiting:
            self.delayed_since = None
        return started

    def _next_queue(self, now: float) -> Queue | None:
        if self.solo_running:
            return None
        solo_waits = self._head(self.solo_queue, now) is not None
        if solo_waits and not self.running:
            return self.solo_queue
        lookup_first = self.at_most_once_streak >= AT_MOST_ONCE_PER_LOOKUP
        others_first = self.nested_streak >= MAX_CONSECUTIVE_NESTED
        for priority in START_ORDER[others_first, lookup_first]:
            if solo_waits and priority is not Priority.NESTED:
                continue
            head = self._head(self.queues[priority], now)
            if head is not None and self._fits(head.facts):
                return self.queues[priority]
        return None

    def _head(self, queue: Queue, now: float) -> Ticket | None:
        while queue:
            ticket = self.waiting.get(queue[0][2])
            if ticket is not None and ticket.facts.deadline_at > now:
                return ticket
            heappop(queue)
            if ticket is not None:
                self._expire(ticket)
        return None

    def _expire(self, ticket: Ticket) -> None:
        del self.waiting[ticket.request_id]
        self.waiting_counts[ticket.priority] -= 1
        self.expired.append(ticket.request_id)
