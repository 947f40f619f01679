"""Grants and releases by call, with a client that returns scripted replies."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import pytest

from sassafraswharf.fleet.fleet_state import VersionedFleet
from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway import call_delivery
from sassafraswharf.gateway.call_delivery import CallDelivery
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.gateway.hold_client import HoldReply
from sassafraswharf.gateway.key_holds import KeyHolds
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.gateway.heartbeat import GrantedRow


SELF = Instance("i-1", 7)
NEXT_INCARNATION = Instance("i-1", 9)
OTHER = Instance("i-2", 8)
ROW = KeyRow(0, 99, SELF, 5)
REST = KeyRow(100, 65_535, OTHER, 5)
MOVING = ROW._replace(target=OTHER, release_requested_at_index=6)
STEP_S = 0.1


class Clock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class HeartbeatStub(NamedTuple):
    instance: Instance


class LocalUpstreamStub:
    """The attributes of the local upstream that the delivery uses."""

    def __init__(self, holds: KeyHolds) -> None:
        self.holds = holds
        self.beat: HeartbeatStub | None = HeartbeatStub(SELF)


Reply = HoldReply | Exception | asyncio.Event | None


class ScriptedClient:
    """Returns the next scripted reply of a kind for each call; ``None`` never returns.

    A call whose reply is an event succeeds once the event is set.
    """

    def __init__(self, grants: list[Reply], releases: list[Reply]) -> None:
        self.scripts = {"grant": grants, "release": releases}
        self.calls: list[tuple[str, int, int, int]] = []

    async def grant(
        self, _name: str, prepare: Callable[[], tuple[GrantedRow, float] | None]
    ) -> HoldReply | None:
        prepared = prepare()
        if prepared is None:
            return None
        return await self.reply("grant", prepared[0][:3])

    async def release(self, _name: str, row: HeldRow) -> HoldReply:
        return await self.reply("release", row)

    async def reply(self, kind: str, row: Any) -> HoldReply:
        self.calls.append((kind, *row))
        script = self.scripts[kind]
        reply = script.pop(0) if script else HoldReply(200, "")
        if reply is None:
            await asyncio.Event().wait()
        if isinstance(reply, asyncio.Event):
            await reply.wait()
            reply = HoldReply(200, "")
        if isinstance(reply, Exception):
            raise reply
        assert isinstance(reply, HoldReply)
        return reply

    def close(self) -> None:
        """Close nothing."""


class DeliveryHarness:
    """A delivery with a scripted client, a manual clock and the table of its router."""

    def __init__(
        self, grants: list[Reply] | None = None, releases: list[Reply] | None = None
    ) -> None:
        log = DecisionLog("side-1", -1)
        self.clock = Clock()
        self.holds = KeyHolds(0.0, 4.5, 3.5)
        self.local = LocalUpstreamStub(self.holds)
        self.view = FleetView(DocumentReader(), log)
        self.client = ScriptedClient(grants or [], releases or [])
        self.reports = 0
        self.lease_s = 4.5
        self.delivery = CallDelivery(
            self.local,  # type: ignore[arg-type]
            self.client,  # type: ignore[arg-type]
            self.view,
            lambda: self.clock.now() + self.lease_s,
            self.report,
            self.clock,
            log,
        )

    def report(self) -> None:
        self.reports += 1

    def apply_table(
        self, version: int, *rows: KeyRow, instance: Instance = SELF
    ) -> None:
        """Apply a newer table at the router."""
        here = Upstream(instance, "diary", "side-1", "10.0.0.1", "a", 10, False)
        change = FleetChange((here,), (), (ServiceRows("diary", (*rows, REST)),))
        self.view.apply_fleet_changes([VersionedFleet(version, change)])

    async def step(self, seconds: float = STEP_S) -> None:
        """Advance the clock, reconcile, and let the calls make progress."""
        self.clock.time += seconds
        self.delivery.reconcile()
        for _ in range(20):
            await asyncio.sleep(0)


def run_scenario(
    scenario: Callable[[DeliveryHarness], Any], **scripts: list[Reply]
) -> DeliveryHarness:
    """Run a scenario and stop its delivery."""

    async def main() -> DeliveryHarness:
        site = DeliveryHarness(**scripts)
        try:
            await scenario(site)
        finally:
            await site.delivery.stop()
        return site

    return asyncio.run(main())


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(call_delivery, "RETRY_PAUSE_S", 0.0)
    monkeypatch.setattr(call_delivery, "RELEASE_REPEAT_S", 0.01)
    monkeypatch.setattr(call_delivery, "GRANT_TIMEOUT_S", 0.02)


def test_a_row_is_granted_at_once_and_renewed_before_it_ends() -> None:
    """Guards against keys granted only at a heartbeat, or expired while in use."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        await site.step()
        assert site.holds.holds_key(50, site.clock.now())
        for _ in range(100):
            await site.step()
            assert site.holds.holds_key(50, site.clock.now())

    site = run_scenario(scenario)
    assert 4 <= len(site.client.calls) <= 12
    assert set(site.client.calls) == {("grant", 0, 99, 5)}


def test_nothing_is_granted_without_a_lease() -> None:
    """Guards against grants by a router that was suspended past its lease."""

    async def scenario(site: DeliveryHarness) -> None:
        site.lease_s = 0.05
        site.apply_table(5, ROW)
        await site.step()

    assert not run_scenario(scenario).client.calls


def test_a_moved_row_is_released_with_the_token_for_its_next_owner() -> None:
    """Guards against a move without its token, or delayed until the hold expires."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        await site.step()
        site.apply_table(6, MOVING)
        await site.step()
        assert not site.holds.holds_key(50, site.clock.now())
        await site.step()
        assert site.holds.held(site.clock.now()) == ()
        assert site.holds.released_rows() == (ReleasedRow(0, 99, "token"),)

    site = run_scenario(scenario, releases=[HoldReply(200, "token")])
    assert site.client.calls == [("grant", 0, 99, 5), ("release", 0, 99, 5)]
    assert site.reports == 1


def test_a_part_of_a_row_is_released_and_the_rest_served_on() -> None:
    """Guards against unavailable keys that stay while others of their row move."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        await site.step()
        site.apply_table(6, MOVING._replace(last=49), ROW._replace(first=50))
        site.delivery.reconcile()
        assert site.holds.holds_key(50, site.clock.now())
        assert not site.holds.holds_key(49, site.clock.now())
        for _ in range(20):
            await site.step()
            assert site.holds.holds_key(50, site.clock.now())

    site = run_scenario(scenario)
    assert site.client.calls[:3] == [
        ("grant", 0, 99, 5),
        ("release", 0, 49, 5),
        ("grant", 50, 99, 5),
    ]


@pytest.mark.parametrize("first", [None, OSError(), HoldReply(500, "")])
def test_a_release_without_answer_is_repeated(first: Reply) -> None:
    """Guards against keys that stay without an owner after one call was lost."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        await site.step()
        site.apply_table(6, MOVING)
        await site.step()
        await asyncio.sleep(0.05)
        await site.step()
        assert site.holds.released_rows() == (ReleasedRow(0, 99, "late"),)

    run_scenario(scenario, releases=[first, HoldReply(200, "late")])


def test_an_unanswered_grant_counts_as_held_after_the_release() -> None:
    """Guards against a grant that is executed after its keys were released."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        await site.step()
        await asyncio.sleep(0.05)
        await site.step()
        assert site.holds.holds_key(50, site.clock.now())
        site.apply_table(6, MOVING)
        await site.step()
        await site.step()
        assert site.holds.released_rows()
        assert site.holds.held(site.clock.now()) == (HeldRow(0, 99, 5),)
        await site.step(4.5)
        assert site.holds.held(site.clock.now()) == ()

    run_scenario(scenario, grants=[None])


def test_a_rejected_fence_is_never_sent_again() -> None:
    """Guards against grants that are repeated with an outdated fence."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        for _ in range(50):
            await site.step()
        assert site.delivery.refused_rows() == (HeldRow(0, 99, 5),)
        site.apply_table(9, ROW._replace(fence=9))
        await site.step()
        assert site.delivery.refused_rows() == ()
        assert site.holds.holds_key(50, site.clock.now())

    site = run_scenario(scenario, grants=[HoldReply(409, "")])
    assert site.client.calls == [("grant", 0, 99, 5), ("grant", 0, 99, 9)]
    assert site.reports == 1


def test_a_new_incarnation_is_granted_its_rows_and_none_of_the_previous_one() -> None:
    """Guards against requests for keys of an upstream's previous incarnation."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        await site.step()
        site.local.beat = HeartbeatStub(NEXT_INCARNATION)
        await site.step()
        assert not site.holds.holds_key(50, site.clock.now())
        assert site.holds.held(site.clock.now()) == ()
        site.apply_table(
            7, ROW._replace(owner=NEXT_INCARNATION, fence=7), instance=NEXT_INCARNATION
        )
        await site.step()
        assert site.holds.holds_key(50, site.clock.now())

    assert run_scenario(scenario).client.calls == [
        ("grant", 0, 99, 5),
        ("grant", 0, 99, 7),
    ]


def test_keys_of_a_move_stay_while_calls_of_an_earlier_process_may_be_late() -> None:
    """Guards against a release while unknown calls may still be executed."""

    async def scenario(site: DeliveryHarness) -> None:
        site.holds.earlier_holds_end_at = site.clock.now() + 1.0
        site.apply_table(6, MOVING)
        await site.step()
        assert site.holds.holds_key(50, site.clock.now())
        assert not site.holds.released_rows()
        await site.step(1.0)
        await site.step()
        assert site.holds.released_rows()

    run_scenario(scenario)


def test_keys_of_a_move_are_not_served_once_their_release_has_begun() -> None:
    """Guards against requests for keys whose release starts without a new table.

    It starts when the holds of an earlier router process must have ended.
    """

    async def scenario(site: DeliveryHarness) -> None:
        site.holds.earlier_holds_end_at = site.clock.now() + 1.0
        site.apply_table(6, MOVING)
        await site.step()
        assert site.holds.holds_key(50, site.clock.now())
        await site.step(1.0)
        assert site.client.calls[-1] == ("release", 0, 99, 5)
        assert not site.holds.holds_key(50, site.clock.now())

    run_scenario(scenario, releases=[None] * 100)


def test_a_row_that_left_while_a_connection_was_opened_is_not_granted() -> None:
    """Guards against a grant that is sent after the keys have another owner."""

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        site.delivery.reconcile()
        site.apply_table(6, ROW._replace(owner=OTHER, fence=6))
        await site.step()

    assert not run_scenario(scenario).client.calls


@pytest.mark.parametrize(
    "earlier", [[], [HoldReply(200, "")]], ids=["first", "renewal"]
)
@pytest.mark.parametrize("kept_from", [100, 50, 0])
def test_a_grant_that_is_answered_after_its_row_began_to_move_serves_what_stays(
    monkeypatch: pytest.MonkeyPatch, earlier: list[Reply], kept_from: int
) -> None:
    """Guards against requests for keys that are being released.

    The upstream rejects them, so sending them is wasted work.
    """
    monkeypatch.setattr(call_delivery, "GRANT_TIMEOUT_S", 0.4)
    answered = asyncio.Event()

    async def scenario(site: DeliveryHarness) -> None:
        site.apply_table(5, ROW)
        while len(site.client.calls) <= len(earlier):
            await site.step()
        rows = [MOVING._replace(last=kept_from - 1), ROW._replace(first=kept_from)]
        site.apply_table(6, *(row for row in rows if row.first <= row.last))
        await site.step()
        answered.set()
        for _ in range(10):
            await site.step()
            for key in (0, 49, 50, 99):
                serves = site.holds.holds_key(key, site.clock.now())
                assert serves is (key >= kept_from)
        held = site.holds.held(site.clock.now())
        assert {key for row in held for key in range(row.first, row.last + 1)} == set(
            range(100)
        )

    run_scenario(scenario, grants=[*earlier, answered], releases=[None] * 100)
