"""Retries of the whole fleet stay within the retry budget."""

from __future__ import annotations

import pytest

from sassafraswharf.gateway.retry_budget import RetryBudget


RATIO = 0.2
SLACK = 64.0
WINDOW_S = 10.0


@pytest.mark.parametrize("routers", [1, 13, 76])
@pytest.mark.parametrize("requests_per_s", [0, 5, 80])
def test_the_fleet_never_exceeds_its_budget(routers: int, requests_per_s: int) -> None:
    """Guards against routers that each spend the whole budget (`retry_abuse`)."""
    budgets = []
    for _ in range(routers):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        budget.routers = routers
        budgets.append(budget)
    spent: list[float] = []
    asked: list[float] = []
    for tick in range(300):
        now = tick * 0.1
        for budget in budgets:
            for _ in range(requests_per_s // 10 + (tick % 10 < requests_per_s % 10)):
                budget.on_request(now)
                asked.append(now)
            while budget.try_spend(now):
                spent.append(now)
        recent = [at for at in spent if at > now - WINDOW_S]
        requests = [at for at in asked if at > now - WINDOW_S]
        assert len(recent) <= RATIO * len(requests) + SLACK


def test_the_budget_returns_after_the_window() -> None:
    """Guards against a budget that is never replenished."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S)
    first = sum(budget.try_spend(0.0) for _ in range(100))
    assert first == 32
    assert not budget.try_spend(5.0)
    assert budget.try_spend(10.1)
