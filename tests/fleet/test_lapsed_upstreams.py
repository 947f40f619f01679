"""Tests that keys change hands only once their router can't grant them any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.fleet.coordinator import SILENT_UPSTREAM_TIMEOUT_S
from tests.fleet.reporting_fleet import ReportingFleet
from tests.fleet.reporting_fleet import started


if TYPE_CHECKING:
    from sassafraswharf.fleet.values import KeyRow


SILENT_S = SILENT_UPSTREAM_TIMEOUT_S + 0.1


def with_lapsed_upstream(names: str = "abc") -> ReportingFleet:
    """Return a fleet in which the upstream of ``a`` has been silent for long."""
    fleet = started(names)
    fleet.held["a"] = ()
    fleet.silent_s["a"] = SILENT_S
    fleet.silent.add("a")
    return fleet


def grantable(fleet: ReportingFleet) -> list[KeyRow]:
    """Return the rows that the router of ``a`` grants with the current table."""
    rows = fleet.table.rows_of(fleet.instances["a"])
    return [row for row in rows if not row.is_moving]


def owned_by_a(fleet: ReportingFleet, rows: list[KeyRow]) -> bool:
    """Return whether the upstream of ``a`` still owns all keys of ``rows``."""
    return all(
        row.owner.name == "i-a"
        for row in fleet.rows()
        for one in rows
        if row.first <= one.last and one.first <= row.last
    )


def test_keys_of_a_returning_upstream_stay_until_its_router_knows_of_the_move() -> None:
    """Guards against two holders after an upstream was frozen for 4 s.

    Its router reports that it holds nothing. Before the decision that follows from
    this report reaches the router, the upstream returns and is granted its keys.
    """
    fleet = with_lapsed_upstream()
    known = fleet.table.version
    fleet.report("a", version=known)
    granted = grantable(fleet)
    assert granted
    fleet.step()
    fleet.step()
    assert owned_by_a(fleet, granted)


def test_keys_of_a_silent_upstream_move_once_its_router_stops_granting_them() -> None:
    """Guards against keys that stay with an upstream that never returns."""
    fleet = with_lapsed_upstream()
    fleet.report("a")
    fleet.step()
    fleet.report("a")
    fleet.step()
    assert fleet.owners() == {"i-b", "i-c"}
    fleet.report("a")
    fleet.step()
    assert fleet.instances["a"] not in fleet.table.upstreams


def test_a_silent_upstream_is_not_assigned_keys() -> None:
    """Guards against keys that move to an upstream that is about to be removed."""
    fleet = with_lapsed_upstream()
    fleet.report("a")
    fleet.draining.add("b")
    fleet.hold_all()
    fleet.held["a"] = ()
    fleet.step()
    targets = {row.target.name for row in fleet.rows() if row.is_moving}
    assert targets == {"i-c"}


def test_a_silent_upstream_keeps_its_keys_while_nobody_can_take_them() -> None:
    """Guards against two holders when the only other upstream joins later."""
    fleet = with_lapsed_upstream("a")
    fleet.report("a")
    granted = grantable(fleet)
    fleet.step()
    assert owned_by_a(fleet, granted)
