"""Tests that the record of a leave outlives the loss of a router."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.coordinator import LEAVE_RETENTION_S
from sassafraswharf.fleet.coordinator import SILENT_UPSTREAM_TIMEOUT_S
from sassafraswharf.fleet.values import Instance
from tests.fleet.reporting_fleet import TIMING
from tests.fleet.reporting_fleet import ReportingFleet
from tests.fleet.reporting_fleet import started


def with_leaving_upstream() -> ReportingFleet:
    """Return a fleet whose table says that the upstream of ``a`` leaves."""
    fleet = started()
    fleet.draining.add("a")
    fleet.step()
    assert is_leaving(fleet)
    return fleet


def is_leaving(fleet: ReportingFleet) -> bool:
    upstream = fleet.table.upstreams.get(fleet.instances["a"])
    return upstream is not None and upstream.draining


def lose_router(fleet: ReportingFleet) -> None:
    fleet.silent.add("a")
    fleet.step(TIMING.expiry_s + 0.2)


def test_a_leave_is_kept_while_its_router_is_down() -> None:
    """Guards against new work for a leaving server once its router is back.

    The new router process knows nothing of the leave, and the server goes on to send
    heartbeats that don't mention it.
    """
    fleet = with_leaving_upstream()
    lose_router(fleet)
    assert fleet.owners() == {"i-b", "i-c"}
    assert is_leaving(fleet)
    fleet.draining.clear()
    fleet.silent.clear()
    fleet.held["a"] = ()
    for _ in range(20):
        fleet.step(0.5)
        assert is_leaving(fleet)
        assert fleet.owners() == {"i-b", "i-c"}
    assert fleet.coordinator.renewal.may_renew(fleet.request_of("a"))
    assert not fleet.coordinator.renewal.lost_upstreams


def test_a_leave_is_kept_while_its_upstream_is_silent() -> None:
    """Guards against new work for a leaving server that was frozen."""
    fleet = with_leaving_upstream()
    fleet.held["a"] = ()
    fleet.silent_s["a"] = SILENT_UPSTREAM_TIMEOUT_S + 0.1
    for _ in range(3):
        fleet.step()
    assert fleet.owners() == {"i-b", "i-c"}
    assert is_leaving(fleet)
    fleet.silent_s["a"] = LEAVE_RETENTION_S + 0.1
    fleet.step()
    assert fleet.instances["a"] not in fleet.table.upstreams


def test_the_record_of_a_leave_is_dropped_in_the_end() -> None:
    """Guards against a table that grows with each host that is gone."""
    fleet = with_leaving_upstream()
    lose_router(fleet)
    fleet.step(LEAVE_RETENTION_S / 2)
    assert is_leaving(fleet)
    fleet.step(LEAVE_RETENTION_S / 2 + 0.1)
    assert fleet.instances["a"] not in fleet.table.upstreams


@pytest.mark.parametrize("ended", [False, True])
def test_a_leave_is_dropped_with_proof_that_its_upstream_ended(ended: bool) -> None:
    """Guards against a departed server that stays in the table for no reason."""
    fleet = with_leaving_upstream()
    departed = fleet.instances["a"]
    fleet.held["a"] = ()
    fleet.draining.clear()
    fleet.instances["a"] = Instance("i-new", 2)
    fleet.ended["a"] = (departed,) if ended else ()
    fleet.step()
    assert departed not in fleet.table.upstreams


def test_a_router_whose_upstream_left_without_keys_gets_a_lease_again() -> None:
    """Guards against a lease that waits for a change which never comes."""
    fleet = with_leaving_upstream()
    fleet.held["a"] = ()
    fleet.step()
    assert fleet.owners() == {"i-b", "i-c"}
    version = fleet.table.version
    lose_router(fleet)
    fleet.silent.clear()
    fleet.step()
    assert fleet.table.version == version
    assert fleet.coordinator.renewal.may_renew(fleet.request_of("a"))
