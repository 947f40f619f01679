"""Duration of holds: no upstream holds a key beyond its router's lease."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.key_holds import KeyHolds
from sassafraswharf.gateway.key_holds import is_newer


SELF = Instance("i-1", 7)
OTHER = Instance("i-2", 9)
ROW = KeyRow(0, 99, SELF, 5)
SLOW_CLOCK = 0.98


def beat(
    sequence: int = 1,
    held: tuple[HeldRow, ...] = (),
    released: tuple[ReleasedRow, ...] = (),
    instance: Instance = SELF,
) -> Heartbeat:
    address = ("10.0.0.1", 80)
    return Heartbeat(
        instance, "catalogue", address, 10, False, 0.0, sequence, held, released
    )


@pytest.mark.parametrize(
    ("arrived_at", "lease_until"),
    [(10.0, 14.0), (10.0, 10.5), (10.0, 12.2), (13.8, 14.0)],
)
def test_a_hold_ends_before_the_lease_also_with_a_slow_clock(
    arrived_at: float, lease_until: float
) -> None:
    """Guards against a second owner while the first one's clock runs slow."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    grant = holds.grant([ROW], arrived_at, lease_until)
    if grant is not None:
        assert arrived_at + grant.hold_s / SLOW_CLOCK <= lease_until


@pytest.mark.parametrize("lease_until", [0.0, 9.0, 10.0, 10.05])
def test_nothing_is_granted_without_a_lease(lease_until: float) -> None:
    """Guards against grants by a router that was suspended past its lease."""
    assert KeyHolds(0.0, 4.5, 2.5).grant([ROW], 10.0, lease_until) is None


def test_a_moving_row_is_left_out_and_no_longer_served() -> None:
    """Guards against requests for keys that the upstream has released."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    holds.grant([ROW], 10.0, 14.0)
    assert holds.holds_key(50, 10.1)
    grant = holds.grant([ROW._replace(target=OTHER)], 10.5, 14.0)
    assert grant is not None
    assert not grant.rows
    assert not holds.holds_key(50, 10.6)
    assert holds.held(10.6)


def test_a_release_ends_what_was_granted() -> None:
    """Guards against a handover that is delayed until the hold expires."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    holds.grant([ROW], 10.0, 14.0)
    assert holds.on_heartbeat(beat(2, released=(ReleasedRow(0, 49, "t"),)), 10.2)
    assert holds.held(10.2) == (HeldRow(50, 99, 5),)
    assert holds.released_rows() == (ReleasedRow(0, 49, "t"),)


def test_keys_of_running_requests_count_as_held() -> None:
    """Guards against a new owner while a request at the previous one still runs."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    holds.on_heartbeat(beat(2, held=(HeldRow(0, 99, 5),)), 10.0)
    assert holds.held(10.1) == (HeldRow(0, 99, 5),)


def test_a_restarted_router_does_not_assume_that_earlier_holds_ended() -> None:
    """Guards against a move while a hold granted by an earlier process is valid."""
    holds = KeyHolds(100.0, 4.5, 2.5)
    assert not holds.earlier_holds_ended(104.5)
    assert holds.earlier_holds_ended(104.8)


@pytest.mark.parametrize(
    ("newer", "known", "expected"),
    [
        (beat(2), beat(1), True),
        (beat(1), beat(2), False),
        (beat(2), beat(2), False),
        (beat(1, instance=OTHER), beat(9), True),
        (beat(9), beat(1, instance=OTHER), False),
        (beat(1, instance=Instance("i-1", 8)), beat(9), True),
    ],
)
def test_late_heartbeats_change_nothing(
    newer: Heartbeat, known: Heartbeat, expected: bool
) -> None:
    """Guards against a late heartbeat of an ended incarnation."""
    assert is_newer(newer, known) is expected


GRANTED = GrantedRow(0, 99, 5, "")
HELD = HeldRow(0, 99, 5)
TIMEOUT_S = 0.4


def called_holds() -> KeyHolds:
    return KeyHolds(0.0, 4.5, 3.5)


@pytest.mark.parametrize("lease_left_s", [0.4, 0.49, 0.6, 1.0, 4.5])
def test_a_called_hold_ends_before_the_lease_however_late_the_call_arrives(
    lease_left_s: float,
) -> None:
    """Guards against a second owner when a call arrives late."""
    pending = called_holds().start_grant(GRANTED, 10.0, 10.0 + lease_left_s, TIMEOUT_S)
    if pending is not None:
        arrived_at = 10.0 + TIMEOUT_S
        assert arrived_at + pending.hold_s / SLOW_CLOCK <= 10.0 + lease_left_s


@pytest.mark.parametrize(
    ("outcome", "held_at_10_5", "held_at_13_5", "serves"),
    [
        ("accepted", (HELD,), (HELD,), True),
        ("refused", (), (), False),
        ("unanswered", (HELD,), (HELD,), False),
    ],
)
def test_what_a_call_may_have_granted_counts_as_held(
    outcome: str,
    held_at_10_5: tuple[HeldRow, ...],
    held_at_13_5: tuple[HeldRow, ...],
    serves: bool,
) -> None:
    """Guards against a new owner while an unanswered grant may be executed."""
    holds = called_holds()
    pending = holds.start_grant(GRANTED, 10.0, 14.5, TIMEOUT_S)
    assert pending is not None
    assert holds.held(10.1) == (HELD,)
    if outcome == "accepted":
        holds.on_grant_accepted(pending, 10.1)
    elif outcome == "refused":
        holds.on_grant_refused(pending)
    assert holds.held(10.5) == held_at_10_5
    assert holds.held(13.5) == held_at_13_5
    assert holds.held(14.5) == ()
    assert holds.holds_key(50, 10.5) is serves


@pytest.mark.parametrize("unanswered", [False, True])
def test_a_release_does_not_end_a_call_that_had_no_answer(unanswered: bool) -> None:
    """Guards against a grant that is executed after the release of its keys."""
    holds = called_holds()
    if unanswered:
        assert holds.start_grant(GRANTED, 10.0, 14.5, TIMEOUT_S)
    pending = holds.start_grant(GRANTED, 10.5, 15.0, TIMEOUT_S)
    assert pending is not None
    holds.on_grant_accepted(pending, 10.6)
    holds.on_released(HELD, "token", 11.0)
    assert holds.released_rows() == (ReleasedRow(0, 99, "token"),)
    assert holds.has_released(HeldRow(10, 20, 5))
    assert holds.held(11.0) == ((HELD,) if unanswered else ())
    assert holds.held(14.5) == ()


def test_a_shorter_renewal_does_not_shorten_what_may_be_held() -> None:
    """Guards against a hold treated as expired because its renewal was shorter."""
    holds = called_holds()
    for at, lease_until in ((10.0, 14.5), (10.2, 11.5)):
        pending = holds.start_grant(GRANTED, at, lease_until, TIMEOUT_S)
        assert pending is not None
        holds.on_grant_accepted(pending, at)
    assert holds.held(13.0) == (HELD,)


@pytest.mark.parametrize(
    ("wanted", "served", "unserved"),
    [
        ([], [], [0, 50, 99]),
        ([GRANTED], [0, 99], []),
        ([GrantedRow(50, 99, 5, "")], [50, 99], [0, 49]),
        ([GrantedRow(0, 9, 5, ""), GrantedRow(90, 99, 5, "")], [5, 95], [10, 89]),
    ],
)
def test_requests_for_keys_being_released_are_not_sent(
    wanted: list[GrantedRow], served: list[int], unserved: list[int]
) -> None:
    """Guards against requests for keys that are being released."""
    holds = called_holds()
    pending = holds.start_grant(GRANTED, 10.0, 14.5, TIMEOUT_S)
    assert pending is not None
    holds.on_grant_accepted(pending, 10.0)
    holds.route_only(wanted)
    assert all(holds.holds_key(key, 10.1) for key in served)
    assert not any(holds.holds_key(key, 10.1) for key in unserved)
    assert holds.held(10.1) == (HELD,)


def test_a_new_incarnation_of_the_upstream_holds_nothing() -> None:
    """Guards against requests for keys of an upstream's previous incarnation."""
    holds = called_holds()
    for at in (10.0, 10.1):
        pending = holds.start_grant(GRANTED, at, 14.5, TIMEOUT_S)
    assert pending is not None
    holds.on_grant_accepted(pending, 10.2)
    holds.on_upstream_end()
    assert holds.held(10.3) == ()
    assert not holds.holds_key(50, 10.3)
