"""Which requests wait for an upstream, in which order, and which can't."""

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
MIN_RETRY_AFTER_S: Final = 0.03
MAX_RETRY_AFTER_S: Final = 2.0
MIN_SERVICE_SHARE: Final = 0.8
"""Share of the mean service time that a request needs at least after it starts.
Half of all requests are shorter than the mean."""

LATE_WAIT_SHARE: Final = 0.4
"""Share of the time left that a request waits whose goal has passed."""

T = TypeVar("T")


class QueueEntry(NamedTuple, Generic[T]):
    """A request in the queue; the first fields are its order."""

    priority: int
    is_late: bool
    sequence: int
    terms: Terms
    offered_at: float
    item: T


class AdmissionQueue(Generic[T]):
    """A bounded number of requests at work and an ordered queue before them.

    More urgent requests come first, and among equals those that can still meet
    their goal. A request is refused as soon as the requests before it take so
    long that it can't be answered in time: by its goal, or by its deadline when
    its goal has passed anyway. Under overload the upstream then works on answers
    that are still worth their full value, and those that are refused know early
    enough to come back. Pure: callers pass the time and act on the results.
    """

    def __init__(self, limit: int) -> None:
        """Start idle with a limit of requests at work."""
        self.limit = max(limit, 1)
        self.running = 0
        self.waiting: list[QueueEntry[T]] = []
        self.service_s = INITIAL_SERVICE_S
        self.last_sequence = 0

    def offer(self, item: T, terms: Terms, now: float) -> list[T]:
        """Queue a request; return the requests that are refused because of it.

        The offered request may be among them.
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
        """Count the end of a request; ``None`` says nothing of the speed."""
        self.running -= 1
        if service_s is not None:
            self.service_s += SERVICE_SMOOTHING * (service_s - self.service_s)

    def withdraw(self, item: T) -> bool:
        """Remove a request whose caller has left; return whether it waited."""
        for position, entry in enumerate(self.waiting):
            if entry.item is item:
                del self.waiting[position]
                return True
        return False

    def withdraw_all(self) -> list[T]:
        """Remove and return every request that waits."""
        waiting, self.waiting = self.waiting, []
        return [entry.item for entry in waiting]

    def prune(self, now: float) -> list[T]:
        """Remove and return the requests that can't be answered in time."""
        refused: list[T] = []
        kept: list[QueueEntry[T]] = []
        free = self.limit - self.running
        for entry in self.waiting:
            ahead = len(kept) - free + 1
            start_s = max(0, ahead) * self.service_s / self.limit
            end_at = now + start_s + MIN_SERVICE_SHARE * self.service_s
            is_hopeless = ahead > 0 and end_at > self.latest_useful_end(entry)
            if is_hopeless or entry.terms.deadline_at <= now:
                refused.append(entry.item)
            else:
                kept.append(entry)
        if refused:
            self.waiting = kept
        return refused

    def latest_useful_end(self, entry: QueueEntry[T]) -> float:
        """Return until when an answer is worth waiting for."""
        terms = entry.terms
        if entry.is_late:
            # Requests that can still meet their goal go first, so under overload
            # a late one would wait to its deadline in vain.
            patience_s = LATE_WAIT_SHARE * (terms.deadline_at - entry.offered_at)
            return entry.offered_at + patience_s
        return min(terms.goal_at, terms.deadline_at)

    def retry_after_s(self) -> float:
        """Return after which time a refused request will probably find room."""
        drained_s = (len(self.waiting) + 1) * self.service_s / self.limit
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, drained_s))
