"""Tests which of 200 routers get a change at once when a hot range moves."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.fleet.sync import UpstreamReport
from sassafraswharf.fleet.transfer import Cursor
from sassafraswharf.fleet.urgent_updates import UrgentUpdates
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows
from sassafraswharf.fleet.values import Upstream


ROUTERS = 200
KNOWN, NEWEST = 40, 41


def instance(number: int) -> Instance:
    return Instance(f"i-{number}", 1)


def report(
    number: int, fleet_version: int = KNOWN, cursor: Cursor | None = None
) -> SyncRequest:
    upstream = UpstreamReport(instance(number), "s", 6, False, 0.1, (), (), True)
    host = f"side-{number}"
    return SyncRequest(
        host, "ip", "a", 1, 1, 0, fleet_version, 0.3, upstream, fleet_cursor=cursor
    )


def moved(row: KeyRow) -> FleetChange:
    return FleetChange((), (), (ServiceRows("s", (row,)),), "keys")


ASKED = moved(KeyRow(5, 9, instance(3), 7, "", instance(8)))
SETTLED = moved(KeyRow(5, 9, instance(8), 0, "token"))
JOINED = FleetChange((Upstream(instance(3), "s", "h", "ip", "a", 6, False),))
LEFT = FleetChange((), (instance(3),))


@pytest.mark.parametrize(
    ("change", "concerned"),
    [(ASKED, {3, 8}), (SETTLED, {8}), (JOINED, {3}), (LEFT, set())],
    ids=["asked", "settled", "joined", "left"],
)
def test_a_change_is_urgent_for_source_and_target_only(
    change: FleetChange, concerned: set[int]
) -> None:
    """Guards against sending each move of a hot key to every router at once."""
    updates = UrgentUpdates()
    updates.on_change(change, NEWEST)
    found = {n for n in range(ROUTERS) if updates.is_urgent_for(report(n), NEWEST)}
    assert found == concerned


@pytest.mark.parametrize(
    ("one", "is_urgent"),
    [
        (report(3), True),
        (report(3, NEWEST), False),
        (report(50, 0), True),
        (report(50, KNOWN, Cursor(1, 10)), True),
        (report(50)._replace(upstream=None), True),
        (report(50), False),
    ],
    ids=["concerned", "newest", "no table", "transfer", "no upstream", "other"],
)
def test_a_router_without_a_table_does_not_wait(
    one: SyncRequest, is_urgent: bool
) -> None:
    """Guards against a restarted router that waits a hold time for its table."""
    updates = UrgentUpdates()
    updates.on_change(ASKED, NEWEST)
    assert updates.is_urgent_for(one, NEWEST) is is_urgent


def test_an_earlier_change_is_not_forgotten_behind_later_ones() -> None:
    """Guards against an owner that never gets the request to release its keys."""
    updates = UrgentUpdates()
    updates.on_change(ASKED, NEWEST)
    updates.on_change(moved(KeyRow(50, 60, instance(90), 0)), NEWEST + 1)
    assert updates.is_urgent_for(report(3), NEWEST + 1)
    assert not updates.is_urgent_for(report(4), NEWEST + 1)
