"""Admission queue of an upstream, ordered by priority and bounded by deadlines."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar


if TYPE_CHECKING:
    from sassafraswharf.gateway.work import Terms


INITIAL_SERVICE_S: Final = 0.05
SERVICE_SMOOTHING: Final = 0.05
"""Weight of a new sample in the moving average of service times."""
MIN_RETRY_AFTER_S: Final = 0.03
MAX_RETRY_AFTER_S: Final = 2.0
MIN_SERVICE_SHARE: Final = 0.8
"""Share of the mean service time that a request is assumed to take. Half of all
requests are shorter than the mean."""

LATE_WAIT_SHARE: Final = 0.4
"""Share of its remaining time that a request past its latency goal may wait."""

T = TypeVar("T")


class QueueEntry(NamedTuple, Generic[T]):
    """A queued request; the first three fields are the sort key."""

    priority: int
    is_late: bool
    sequence: int
    terms: Terms
    offered_at: float
    item: T


class AdmissionQueue(Generic[T]):
    """A limit of concurrent requests and a priority queue for the others.

    Requests are ordered by priority; within a priority, those that can still meet
    their latency goal come first. A request is rejected as soon as the requests
    ahead of it take so long that it can't finish in time: by its goal, or by its
    deadline if its goal has already passed. Under overload the upstream thus works
    on requests that still meet their goal, and rejected callers have time to retry.
    Free of side effects: callers pass the time and act on the results.
    """

    def __init__(self, limit: int) -> None:
        """Start empty, with a limit of concurrent requests."""
        self.limit = max(limit, 1)
        self.running = 0
        self.waiting: list[QueueEntry[T]] = []
        self.service_s = INITIAL_SERVICE_S
        self.last_sequence = 0

    def offer(self, item: T, terms: Terms, now: float) -> list[T]:
        """Queue a request; return the requests that are rejected because of it.

        The new request may be among them.
        """
        self.last_sequence += 1
        entry = QueueEntry(
            terms.priority, terms.is_late, self.last_sequence, terms, now, item
        )
        insort(self.waiting, entry, key=lambda one: one[:3])
        return self.prune(now)

    def start_next(self) -> T | None:
        """Return the next request to start, ``None`` if the limit is reached."""
        if not self.waiting or self.running >= self.limit:
            return None
        self.running += 1
        return self.waiting.pop(0).item

    def finish(self, service_s: float | None) -> None:
        """Free a slot; ``service_s`` is ``None`` if it is no sample of service time."""
        self.running -= 1
        if service_s is not None:
            self.service_s += SERVICE_SMOOTHING * (service_s - self.service_s)

    def withdraw(self, item: T) -> bool:
        """Remove a cancelled request; return whether it was queued."""
        for position, entry in enumerate(self.waiting):
            if entry.item is item:
                del self.waiting[position]
                return True
        return False

    def withdraw_all(self) -> list[T]:
        """Remove and return every queued request."""
        waiting, self.waiting = self.waiting, []
        return [entry.item for entry in waiting]

    def prune(self, now: float) -> list[T]:
        """Remove and return the requests that can't finish in time."""
        rejected: list[T] = []
        kept: list[QueueEntry[T]] = []
        free = self.limit - self.running
        for entry in self.waiting:
            ahead = len(kept) - free + 1
            start_s = max(0, ahead) * self.service_s / self.limit
            end_at = now + start_s + MIN_SERVICE_SHARE * self.service_s
            cannot_finish = ahead > 0 and end_at > self.latest_useful_end(entry)
            if cannot_finish or entry.terms.deadline_at <= now:
                rejected.append(entry.item)
            else:
                kept.append(entry)
        if rejected:
            self.waiting = kept
        return rejected

    def latest_useful_end(self, entry: QueueEntry[T]) -> float:
        """Return the time by which a request must finish to be kept in the queue."""
        terms = entry.terms
        if entry.is_late:
            # Requests that can still meet their goal go first, so under overload
            # a late one would wait until its deadline and then fail.
            patience_s = LATE_WAIT_SHARE * (terms.deadline_at - entry.offered_at)
            return entry.offered_at + patience_s
        return min(terms.goal_at, terms.deadline_at)

    def retry_after_s(self) -> float:
        """Return the time after which a rejected request will probably be admitted."""
        drained_s = (len(self.waiting) + 1) * self.service_s / self.limit
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, drained_s))
