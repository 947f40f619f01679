from __future__ import annotations

import random

import pytest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sassafraswharf.identifiers import ServiceName
from sassafraswharf.requests.admission import AdmissionController
from sassafraswharf.requests.admission import Verdict
from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import ExchangeResult
from sassafraswharf.requests.priority import RequestFacts


ANSWERED = OUTCOMES[ExchangeResult.ANSWERED]
LOOKUP, BOOKING, NESTED = "lookup", "booking", "nested"


def facts(kind: str, deadline_at: float = 100.0, depth: int = 0) -> RequestFacts:
    depth = max(depth, int(kind == NESTED))
    name = ServiceName("diary")
    return RequestFacts(name, kind, kind != BOOKING, depth, deadline_at, None, 0.0)


def filled(slots: int, kinds: list[str], levels: int = 0) -> AdmissionController:
    admission = AdmissionController(slots, levels)
    for request_id in range(slots):
        assert admission.offer(request_id, facts(LOOKUP), 0.0).verdict is Verdict.RUN
    for offset, kind in enumerate(kinds):
        decision = admission.offer(slots + offset, facts(kind), 0.0)
        assert decision.verdict is Verdict.WAIT
    return admission


def starts(admission: AdmissionController, first: int) -> list[int]:
    order = []
    pending = [first]
    while pending:
        started = admission.finish(pending.pop(0), 0.001, ANSWERED, 0.001)
        order += started
        pending += started
    return order


@pytest.mark.parametrize(
    ("kinds", "order"),
    [
        ([LOOKUP, BOOKING, NESTED], [3, 2, 1]),
        ([LOOKUP, BOOKING, BOOKING, BOOKING, BOOKING], [2, 3, 4, 1, 5]),
        ([BOOKING, LOOKUP, LOOKUP], [1, 2, 3]),
        ([LOOKUP, LOOKUP, BOOKING, BOOKING, BOOKING, BOOKING], [3, 4, 5, 1, 6, 2]),
    ],
)
def test_order_of_starts(kinds: list[str], order: list[int]) -> None:
    """Guards against starvation of one class by another."""
    assert starts(filled(1, kinds), 0) == order


def test_least_time_left_starts_first() -> None:
    """Guards against expiry of a request behind one that has time left."""
    admission = filled(1, [])
    for request_id, deadline_at in [(1, 9.0), (2, 3.0), (3, 5.0)]:
        admission.offer(request_id, facts(LOOKUP, deadline_at), 0.0)
    assert admission.next_expiry_at is not None
    assert starts(admission, 0)[0] == 2


def test_expired_request_is_never_started() -> None:
    """Guards against running a request whose deadline has passed."""
    admission = filled(1, [])
    assert admission.offer(1, facts(BOOKING, 1.0), 0.0).verdict is Verdict.WAIT
    assert admission.offer(2, facts(BOOKING, 1.0), 1.0).verdict is Verdict.EXPIRED
    assert admission.finish(0, 2.0, ANSWERED, 2.0) == []
    assert admission.expire(2.0) == [1]
    assert admission.expire(2.0) == []


def test_full_queue_refuses_with_a_retry_time_and_keeps_bookings() -> None:
    """Guards against an unbounded queue and against evicted bookings."""
    admission = filled(1, [BOOKING] * 4 + [LOOKUP] * 2)
    for kind in (BOOKING, LOOKUP):
        decision = admission.offer(50, facts(kind), 0.0)
        assert decision.verdict is Verdict.REFUSE
        assert decision.retry_after_s > 0
    assert sorted(starts(admission, 0)) == [1, 2, 3, 4, 5, 6]


def test_too_little_time_left_is_refused_on_arrival() -> None:
    """Guards against queueing work that can't be done in time."""
    admission = filled(1, [BOOKING])
    assert admission.offer(9, facts(LOOKUP, 0.01), 0.0).verdict is Verdict.REFUSE


def test_overload_refuses_lookups_early_and_not_bookings() -> None:
    """Guards against a standing queue of lookups that delays all requests."""
    admission = AdmissionController(4)
    running = []
    longest = 0
    for step in range(400):
        now = step * 0.001
        verdict = admission.offer(step, facts(LOOKUP), now).verdict
        running += [step] if verdict is Verdict.RUN else []
        longest = max(longest, len(admission.waiting))
        if admission.is_overloaded(now):
            break
        if step % 10 == 9 and running:
            running += admission.finish(running.pop(0), 0.01, ANSWERED, now)
    assert admission.is_overloaded(now)
    for request_id in list(admission.waiting)[2:]:
        admission.cancel(request_id, now)
    assert len(admission.waiting) < longest
    assert admission.offer(9000, facts(LOOKUP), now).verdict is Verdict.REFUSE
    assert admission.offer(9001, facts(BOOKING), now).verdict is Verdict.WAIT


def test_solo_runs_alone() -> None:
    """Guards against a suspect that crashes other running requests as well."""
    admission = filled(2, [])
    assert admission.offer(10, facts(BOOKING), 0.0, solo=True).verdict is Verdict.WAIT
    assert admission.offer(11, facts(LOOKUP), 0.0).verdict is Verdict.WAIT
    assert admission.finish(0, 0.001, ANSWERED, 0.0) == []
    assert admission.offer(12, facts(NESTED), 0.0).verdict is Verdict.RUN
    assert admission.finish(1, 0.001, ANSWERED, 0.0) == []
    assert admission.finish(12, 0.001, ANSWERED, 0.0) == [10]
    assert admission.offer(13, facts(NESTED), 0.0).verdict is Verdict.WAIT
    assert admission.finish(10, 0.001, ANSWERED, 0.0) == [13, 11]


def test_cancelled_and_withdrawn_requests_leave_the_queue() -> None:
    """Guards against a handover that leaves requests to start later."""
    admission = filled(1, [BOOKING, LOOKUP, LOOKUP])
    assert admission.cancel(1, 0.0) == []
    assert sorted(admission.withdraw_all()) == [2, 3]
    assert admission.cancel(0, 0.0) == []
    assert admission.offer(9, facts(LOOKUP), 0.0).verdict is Verdict.RUN


@pytest.mark.parametrize(("levels", "completes"), [(2, True), (0, False)])
def test_nested_calls_never_deadlock_against_their_parents(
    levels: int, completes: bool
) -> None:
    """Guards against parents that hold all slots their own calls need.

    Without reserved levels the same load must deadlock, which validates the check.
    """
    admission = AdmissionController(4, levels)
    rng = random.Random(7)
    depth_of = dict.fromkeys(range(12), 0)
    parent_of: dict[int, int] = {}
    done: set[int] = set()
    active: list[int] = []

    def offer(request_id: int) -> None:
        kind = NESTED if depth_of[request_id] else LOOKUP
        offered = facts(kind, depth=depth_of[request_id])
        verdict = admission.offer(request_id, offered, 0.0).verdict
        if verdict is Verdict.RUN:
            active.append(request_id)
        elif verdict is Verdict.REFUSE:
            finish(request_id)

    def finish(request_id: int) -> None:
        done.add(request_id)
        active.extend(admission.finish(request_id, 0.001, ANSWERED, 0.0))
        if request_id in parent_of:
            finish(parent_of[request_id])

    for request_id in range(12):
        offer(request_id)
    while active:
        request_id = active.pop(rng.randrange(len(active)))
        if depth_of[request_id] == 2:
            finish(request_id)
            continue
        child = len(depth_of)
        depth_of[child] = depth_of[request_id] + 1
        parent_of[child] = request_id
        offer(child)
    assert (done == set(depth_of)) is completes


OFFERS = st.tuples(
    st.sampled_from([LOOKUP, BOOKING, NESTED]),
    st.floats(0.0, 0.2),
    st.integers(0, 3),
    st.booleans(),
)


@settings(max_examples=150)
@given(st.lists(st.one_of(OFFERS, st.integers(0, 60)), max_size=80), st.integers(0, 2))
def test_invariants(
    events: list[tuple[str, float, int, bool] | int], level: int
) -> None:
    """Guards against lost, duplicate or excess starts in any order of events."""
    admission = AdmissionController(3, level)
    running: set[int] = set()
    seen: set[int] = set()
    ended: set[int] = set()
    solo: set[int] = set()
    for request_id, event in enumerate(events):
        now = request_id * 0.01
        if isinstance(event, tuple):
            kind, left_s, depth, alone = event
            offered = facts(kind, now + left_s, depth)
            verdict = admission.offer(request_id, offered, now, alone).verdict
            seen |= {request_id}
            solo |= {request_id} if alone else set()
            started = [request_id] if verdict is Verdict.RUN else []
            ended |= (
                {request_id} if verdict in {Verdict.REFUSE, Verdict.EXPIRED} else set()
            )
        elif event in running:
            running.remove(event)
            ended.add(event)
            started = admission.finish(event, 0.01, ANSWERED, now)
        else:
            started = admission.cancel(event, now)
            ended |= {event} & seen
        expired = set(admission.expire(now))
        assert not expired & ended
        ended |= expired
        assert not set(started) & (running | ended)
        running |= set(started)
        assert len(running) <= 3
        assert len(running) == 1 or not running & solo
        assert running | ended | set(admission.waiting) == seen
