"""Tests the limit on bytes in flight from the leader to all routers."""

from __future__ import annotations

import heapq

from typing import Final
from typing import NamedTuple

import pytest

from sassafraswharf.fleet.part_budget import MAX_IN_FLIGHT_BYTES
from sassafraswharf.fleet.part_budget import PART_EXPIRY_S
from sassafraswharf.fleet.part_budget import PartBudget
from sassafraswharf.fleet.transfer import PART_BYTES


LINK_BYTES_PER_S: Final = 170_000_000 / 8
ANSWER_S: Final = 1.1
PERIOD_S: Final = 0.05


class Run(NamedTuple):
    """When the last router had all parts, and how many parts arrived too late."""

    ended_at: float
    late: int


def distribute(routers: int, parts: int, budget: PartBudget, until: float) -> Run:
    """Send parts to all routers over one link, in virtual time."""
    free_at = 0.0
    late = 0
    missing = dict.fromkeys(map(str, range(routers)), parts)
    events = [(0.0, router) for router in missing]
    heapq.heapify(events)
    ended_at = float("inf")
    while events:
        now, router = heapq.heappop(events)
        if now > until:
            break
        budget.on_report(router)
        if not missing[router]:
            ended_at = now
            continue
        if not budget.has_room(now):
            heapq.heappush(events, (now + PERIOD_S, router))
            continue
        budget.on_sent(router, PART_BYTES, now)
        assert budget.in_flight_bytes <= budget.limit + PART_BYTES
        free_at = max(free_at, now) + PART_BYTES / LINK_BYTES_PER_S
        if free_at - now > ANSWER_S:
            late += 1
            heapq.heappush(events, (now + ANSWER_S, router))
            continue
        missing[router] -= 1
        heapq.heappush(events, (free_at, router))
    return Run(ended_at, late)


@pytest.mark.parametrize(
    ("routers", "parts"),
    [
        pytest.param(61, 3, id="61 routers"),
        pytest.param(2_400, 2, id="2,400 routers"),
    ],
)
def test_no_part_comes_too_late_however_many_routers_lack_it(
    routers: int, parts: int
) -> None:
    """Guards against saturating the leader's link with replies that have timed out.

    The limit is the time within which a change must be in force everywhere, 12 s.
    """
    run = distribute(routers, parts, PartBudget(), 12.0)
    assert run.late == 0
    assert run.ended_at < 12.0


def test_without_the_budget_most_parts_of_a_large_fleet_come_too_late() -> None:
    """Guards against a link model in which no part is late without the budget."""
    assert distribute(2_400, 2, PartBudget(1 << 40), 12.0).late > 2_400


def test_parts_that_were_lost_count_no_longer() -> None:
    """Guards against a budget that lost routers use up for ever."""
    budget = PartBudget(PART_BYTES)
    budget.on_sent("gone", PART_BYTES, 10.0)
    assert not budget.has_room(10.0 + PART_EXPIRY_S / 2)
    assert budget.has_room(10.1 + PART_EXPIRY_S)
    assert budget.in_flight_bytes == 0


def test_two_parts_of_a_router_count_together() -> None:
    """Guards against a total that drifts from the bytes in flight."""
    budget = PartBudget()
    budget.on_sent("r", 10, 1.0)
    budget.on_sent("r", 20, 1.1)
    assert budget.in_flight_bytes == 30
    budget.on_report("r")
    budget.on_report("r")
    assert budget.in_flight_bytes == 0
    assert budget.limit == MAX_IN_FLIGHT_BYTES
