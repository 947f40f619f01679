"""Tests that a router gets a lease only with a table that has its removal."""

from __future__ import annotations

import pytest

from tests.fleet.reporting_fleet import SERVICE
from tests.fleet.reporting_fleet import TIMING
from tests.fleet.reporting_fleet import started


@pytest.mark.parametrize("is_committed", [False, True])
def test_a_lost_router_gets_no_lease_with_the_table_from_before_its_removal(
    is_committed: bool,
) -> None:
    """Guards against two holders when a router that was cut off returns.

    Its lease has ended, so the leader has decided to assign the keys to others. A
    report that arrives before or after the commit must not renew the lease of a
    router whose table still gives the keys to its upstream.
    """
    fleet = started()
    fleet.silent.add("a")
    known = fleet.table.version
    fleet.now += TIMING.expiry_s + 0.1
    for name in "bc":
        fleet.report(name)
    change = fleet.coordinator.next_change(fleet.table, [SERVICE], fleet.now)
    assert change is not None
    assert [one.name for one in change.removed] == ["i-a"]
    if is_committed:
        fleet.index += 1
        fleet.table.apply(fleet.index, change)
    fleet.report("a", version=known)
    assert not fleet.coordinator.renewal.may_renew(fleet.request_of("a"))
    fleet.index += 1
    fleet.table.apply(fleet.index, change)
    fleet.report("a")
    assert fleet.coordinator.renewal.may_renew(fleet.request_of("a"))


def test_a_decided_removal_is_completed_although_the_router_returned() -> None:
    """Guards against a returned router that never gets a lease again.

    The first proposal of its removal failed, and its report arrived before the next.
    """
    fleet = started()
    known = fleet.table.version
    fleet.silent.add("a")
    fleet.now += TIMING.expiry_s + 0.1
    for name in "bc":
        fleet.report(name)
    assert fleet.coordinator.next_change(fleet.table, [SERVICE], fleet.now)
    fleet.silent.clear()
    fleet.step()
    assert all(row.fence > known for row in fleet.rows() if row.owner.name == "i-a")
    assert fleet.coordinator.renewal.may_renew(fleet.request_of("a"))


def test_a_new_leader_renews_no_lease_of_a_router_that_missed_a_removal() -> None:
    """Guards against two holders when the leader changes after a removal."""
    fleet = started()
    known = fleet.table.version
    fleet.silent.add("a")
    fleet.step(TIMING.expiry_s + 0.1)
    assert "i-a" not in fleet.owners()
    fleet.coordinator.start_term(fleet.now, fleet.table.version)
    fleet.report("a", version=known)
    assert not fleet.coordinator.renewal.may_renew(fleet.request_of("a"))
    fleet.report("a")
    assert fleet.coordinator.renewal.may_renew(fleet.request_of("a"))
