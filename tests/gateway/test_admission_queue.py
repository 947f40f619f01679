"""Order and rejections of the admission queue under bursts and slow upstreams."""

from __future__ import annotations

import pytest

from sassafraswharf.gateway.admission_queue import AdmissionQueue
from sassafraswharf.gateway.work import Terms


def terms(priority: int = 1, goal_at: float = 0.25, late: bool = False) -> Terms:
    return Terms(priority, late, goal_at, 1.0)


def busy_queue(limit: int = 2) -> AdmissionQueue[str]:
    queue: AdmissionQueue[str] = AdmissionQueue(limit)
    queue.service_s = 0.05
    for number in range(limit):
        queue.offer(f"running-{number}", terms(), 0.0)
        assert queue.start_next()
    return queue


def test_a_burst_is_cut_to_what_meets_the_goal() -> None:
    """Guards against a burst that makes every request miss its goal (`burst`)."""
    queue = busy_queue()
    refused = [one for n in range(40) for one in queue.offer(f"r{n}", terms(), 0.0)]
    assert 0 < len(queue.waiting) <= 10
    assert len(refused) + len(queue.waiting) == 40
    assert refused[0] == f"r{len(queue.waiting)}"


def test_a_higher_priority_displaces_a_lower_one() -> None:
    """Guards against rejecting a request while one of lower priority is queued."""
    queue = busy_queue()
    for number in range(20):
        queue.offer(f"low{number}", terms(3), 0.0)
    displaced = [one for n in range(8) for one in queue.offer(f"u{n}", terms(0), 0.0)]
    assert all(one.startswith("low") for one in displaced)
    assert queue.waiting[0].item == "u0"


@pytest.mark.parametrize(("late", "kept"), [(True, True), (False, False)])
def test_after_the_goal_only_the_deadline_counts(late: bool, kept: bool) -> None:
    """Guards against rejecting retries because their goal has already passed."""
    queue = busy_queue()
    queue.service_s = 0.12
    refused = queue.offer("r", terms(goal_at=0.1, late=late), 0.0)
    assert (not refused) is kept


def test_a_waiting_request_is_refused_when_the_upstream_turns_slow() -> None:
    """Guards against requests that stay queued until their deadline (`srv_slow`)."""
    queue = busy_queue()
    queue.offer("r", terms(), 0.0)
    queue.service_s = 1.0
    assert queue.prune(0.05) == ["r"]


def test_an_idle_upstream_rejects_no_request() -> None:
    """Guards against rejections while slots are free."""
    queue: AdmissionQueue[str] = AdmissionQueue(2)
    queue.service_s = 5.0
    assert queue.offer("r", terms(), 0.0) == []
    assert queue.start_next() == "r"


def test_a_cancelled_request_leaves_the_queue() -> None:
    """Guards against a queue full of cancelled requests (`give_up`)."""
    queue = busy_queue()
    queue.offer("r", terms(), 0.0)
    assert queue.withdraw("r")
    assert not queue.withdraw("r")
    queue.finish(0.05)
    assert queue.start_next() is None
    assert queue.running == 1


def test_a_late_request_is_not_held_behind_a_steady_overload() -> None:
    """Guards against a late request that waits until its deadline and then fails."""
    queue = busy_queue()
    assert queue.offer("late", terms(late=True), 0.0) == []
    for number in range(12):
        queue.offer(f"r{number}", terms(goal_at=9.0), 0.0)
    assert queue.prune(0.2) == ["late"]
