"""When a router acknowledges the leave announcement of its upstream."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.fleet_state import VersionedFleet
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway import announcements
from sassafraswharf.gateway.announcements import Announcements
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from tests.gateway.local_upstreams import make_local


ADDRESS = ("127.0.0.1", 9)
SELF = Instance("i-1", 7)
EARLIER = Instance("i-1", 5)
UNBORN = Instance("i-1", 0)
OTHER = Instance("i-2", 9)


def known(instance: Instance, *, draining: bool) -> Upstream:
    return Upstream(instance, "desk", "h", "127.0.0.1", "a", 4, draining)


@pytest.mark.parametrize(
    ("heard", "fleet", "leaves", "is_known"),
    [
        (SELF, [known(SELF, draining=False)], SELF, False),
        (SELF, [known(SELF, draining=True)], SELF, True),
        (SELF, [known(SELF, draining=False)], UNBORN, False),
        (SELF, [known(SELF, draining=True)], UNBORN, True),
        (SELF, [], SELF, False),
        (SELF, None, SELF, False),
        (None, None, SELF, False),
        (None, [], SELF, False),
        (None, [known(OTHER, draining=False)], SELF, False),
        (OTHER, [known(OTHER, draining=False)], SELF, True),
        (SELF, [known(SELF, draining=False)], EARLIER, True),
    ],
)
def test_a_leave_is_acknowledged_once_the_fleet_knows(
    heard: Instance | None,
    fleet: list[Upstream] | None,
    leaves: Instance,
    is_known: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leave that is lost when its router restarts (DRAIN)."""
    monkeypatch.setattr(announcements, "LEAVE_TIMEOUT_S", 0.05)
    reports: list[int] = []
    delivery: Any = None

    async def main() -> bool:
        clock = BootClock()
        log = DecisionLog("h", -1)
        view = FleetView(DocumentReader(), log)
        if fleet is not None:
            view.fleet.apply(3, FleetChange(tuple(fleet)))
        local = make_local(ADDRESS, clock=clock)
        if heard is not None:
            beat = Heartbeat(heard, "desk", ADDRESS, 4, False, 0.0, 1)
            local.on_heartbeat(beat, clock.now())
        listener = Announcements(
            local, delivery, view, lambda: reports.append(1), str, clock, log
        )
        return await listener.on_leave(leaves)

    assert asyncio.run(main()) is is_known
    assert is_known or reports


@pytest.mark.parametrize("leaves", [SELF, UNBORN])
def test_the_leave_of_an_ended_upstream_is_acknowledged(leaves: Instance) -> None:
    """Guards against an upstream whose leave is refused after it was removed."""
    delivery: Any = None

    async def main() -> bool:
        clock = BootClock()
        log = DecisionLog("h", -1)
        view = FleetView(DocumentReader(), log)
        view.fleet.apply(3, FleetChange())
        local = make_local(ADDRESS, clock=clock)
        local.on_end(SELF, clock.now())
        listener = Announcements(local, delivery, view, lambda: None, str, clock, log)
        return await listener.on_leave(leaves)

    assert asyncio.run(main())


def test_a_leave_is_recorded_once_the_upstream_is_heard_again() -> None:
    """Guards against a leave that a restarted router acknowledges and forgets.

    The router was down for so long that the fleet table lost its upstream. The
    upstream repeats its leave until it is acknowledged.
    """
    reports: list[int] = []
    delivery: Any = None

    async def main() -> tuple[bool, bool]:
        clock = BootClock()
        log = DecisionLog("h", -1)
        view = FleetView(DocumentReader(), log)
        view.fleet.apply(3, FleetChange())
        local = make_local(ADDRESS, clock=clock)

        def report() -> None:
            reports.append(1)
            beat = local.beat
            if beat is not None:
                joined = known(beat.instance, draining=beat.draining)
                change = VersionedFleet(4, FleetChange((joined,)))
                asyncio.get_running_loop().call_soon(view.apply_fleet_changes, [change])

        listener = Announcements(local, delivery, view, report, str, clock, log)
        before = await listener.on_leave(SELF)
        local.on_heartbeat(
            Heartbeat(SELF, "desk", ADDRESS, 4, False, 0.0, 1), clock.now()
        )
        return before, await listener.on_leave(SELF)

    assert asyncio.run(main()) == (False, True)
