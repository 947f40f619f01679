from __future__ import annotations

import random

import pytest

from sassafraswharf.codes import ResultCode
from sassafraswharf.requests.concurrency_limit import ConcurrencyLimit
from sassafraswharf.requests.deadline import dispatch_deadline
from sassafraswharf.requests.deadline import remaining_ms
from sassafraswharf.requests.deadline import request_deadline
from sassafraswharf.requests.retry_budget import RetryBudget


def observe(
    limit: ConcurrencyLimit, start: float, service_s: float, failed: bool = False
) -> float:
    now = start
    for _ in range(400):
        now += 0.01
        limit.observe("lookup", service_s, failed, now)
    return now


@pytest.mark.parametrize("failed", [False, True])
def test_limit_falls_with_slow_service_and_recovers(failed: bool) -> None:
    """Guards against full concurrency on an upstream that slows down or fails."""
    limit = ConcurrencyLimit(20, minimum=2)
    now = observe(limit, 0.0, 0.005)
    assert limit.limit == 20
    now = observe(limit, now, 0.005 if failed else 0.05, failed)
    assert limit.limit == 2
    now = observe(limit, now, 0.005)
    assert limit.limit > 15


def test_limit_stays_under_steady_load_with_varying_service_times() -> None:
    """Guards against a limit that collapses because single means vary.

    With the smallest mean of windows of 8 samples as baseline the limit fell to
    1 and the goodput of policy_compare to 0.1 of the capacity.
    """
    limit = ConcurrencyLimit(20)
    rng = random.Random(5)
    lowest = 20
    for step in range(20_000):
        limit.observe("lookup", rng.expovariate(20.0), False, step * 0.01)
        lowest = min(lowest, limit.limit)
    assert lowest >= 19


def test_other_operation_is_not_a_slowdown() -> None:
    """Guards against a limit that falls when the mix of operations changes."""
    limit = ConcurrencyLimit(20)
    for step in range(400):
        operation = "slow" if step > 200 else "fast"
        limit.observe(operation, 0.1 if step > 200 else 0.001, False, step * 0.01)
    assert limit.limit == 20


def test_retry_budget_is_a_share_with_a_floor() -> None:
    """Guards against retries that multiply an overload."""
    budget = RetryBudget(0.0)
    for _ in range(100):
        budget.on_request(0.0)
    assert sum(budget.try_spend(0.0, 10.0, 0.01) for _ in range(100)) in {10, 11}
    assert budget.try_spend(5.0, 10.0, 0.01)
    assert not budget.try_spend(5.0, 10.0, 0.01)


@pytest.mark.parametrize(
    ("deadline_at", "already_retried"), [(0.005, False), (10.0, True)]
)
def test_no_retry(deadline_at: float, already_retried: bool) -> None:
    """Guards against retries that end too late or multiply per hop."""
    budget = RetryBudget(0.0)
    assert not budget.try_spend(0.0, deadline_at, 0.01, already_retried)
    assert budget.try_spend(0.0, 10.0, 0.01)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, 12.0),
        ("500", 10.5),
        ("900000", 12.0),
        ("9" * 5000, 12.0),
        ("0", ResultCode.DEADLINE_EXPIRED),
        ("-5", ResultCode.BAD_REQUEST),
        ("\u0665", ResultCode.BAD_REQUEST),
    ],
)
def test_deadline_of(text: str | None, expected: float | ResultCode) -> None:
    """Guards against a caller that extends the deadline of the service."""
    result = request_deadline(10.0, 2.0, text)
    if isinstance(expected, ResultCode):
        assert result.unwrap_err().code is expected
    else:
        assert result.unwrap() == expected


def test_dispatch_deadline_ends_with_the_lease() -> None:
    """Guards against work that goes on after the lease has expired."""
    assert dispatch_deadline(5.0, 3.0) == 3.0
    assert remaining_ms(2.0, 3.0) == 0
    assert remaining_ms(3.0019, 3.0) == 1
