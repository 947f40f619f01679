"""Arithmetic of holds: no upstream holds a key beyond its router's lease."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
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
    """Guards against grants of a router that was frozen past its lease."""
    assert KeyHolds(0.0, 4.5, 2.5).grant([ROW], 10.0, lease_until) is None


def test_a_moving_row_is_left_out_and_no_longer_served() -> None:
    """Guards against requests for keys that the upstream has given up."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    holds.grant([ROW], 10.0, 14.0)
    assert holds.holds_key(50, 10.1)
    grant = holds.grant([ROW._replace(target=OTHER)], 10.5, 14.0)
    assert grant is not None
    assert not grant.rows
    assert not holds.holds_key(50, 10.6)
    assert holds.held(10.6)


def test_a_release_ends_what_was_granted() -> None:
    """Guards against a handover that waits for the hold to run out."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    holds.grant([ROW], 10.0, 14.0)
    assert holds.on_heartbeat(beat(2, released=(ReleasedRow(0, 49, "t"),)), 10.2)
    assert holds.held(10.2) == (HeldRow(50, 99, 5),)
    assert holds.released_rows() == (ReleasedRow(0, 49, "t"),)


def test_what_is_still_worked_on_counts_as_held() -> None:
    """Guards against a next owner while a request of the last one still runs."""
    holds = KeyHolds(0.0, 4.5, 2.5)
    holds.on_heartbeat(beat(2, held=(HeldRow(0, 99, 5),)), 10.0)
    assert holds.held(10.1) == (HeldRow(0, 99, 5),)


def test_a_restarted_router_does_not_vouch_for_what_it_can_not_know() -> None:
    """Guards against a takeover while a hold of the earlier process lasts."""
    holds = KeyHolds(100.0, 4.5, 2.5)
    assert not holds.is_complete(104.5)
    assert holds.is_complete(104.8)


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
    """Guards against a heartbeat of an ended life that arrives late."""
    assert is_newer(newer, known) is expected
