"""Each key has at most one holder: routers, upstreams and a leader in virtual time.

Calls are late, lost or unanswered, routers lose their lease and restart, upstreams
restart. The leader moves the row to the next owner by the rules of the coordinator:
when the router reports that nothing is held, or when its lease has expired.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import pytest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from sassafraswharf.fleet.lease_timing import LeaseTiming
from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.gateway.key_holds import KeyHolds
from sassafraswharf.gateway.key_holds import PendingGrant
from sassafraswharf_bench.provider.called_holds import CalledHolds


TIMEOUT_S = 0.4
HOLD_S = 3.5
LEASE_TIMING = LeaseTiming()
SLOW_CLOCK = 0.98
UPSTREAMS = 2
KEY = 50


class DelayedCall(NamedTuple):
    """A call that the upstream will execute late, without a response."""

    upstream: int
    pending: PendingGrant
    arrived_at: float


class SingleHolderMachine(RuleBasedStateMachine):
    """The row of one key moves between upstreams while calls fail."""

    @initialize()
    def start(self) -> None:
        self.now = 1_000.0
        self.owner = 0
        self.fence = 1
        self.release_requested = False
        self.lease_until = [0.0] * UPSTREAMS
        self.last_report_at = [self.now] * UPSTREAMS
        self.holds = [self.new_holds(0.0) for _ in range(UPSTREAMS)]
        self.upstreams = [CalledHolds() for _ in range(UPSTREAMS)]
        self.delayed_calls: list[DelayedCall] = []

    def new_holds(self, started_at: float) -> KeyHolds:
        return KeyHolds(started_at, LEASE_TIMING.lease_s, HOLD_S)

    @property
    def row(self) -> GrantedRow:
        return GrantedRow(0, 99, self.fence, "")

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.7, 4.4]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.move_if_free()

    @rule(
        outcome=st.sampled_from(["answered", "lost", "late"]),
        on_its_way_s=st.sampled_from([0.0, TIMEOUT_S]),
        is_in_touch=st.sampled_from([True, True, False]),
    )
    def grant(self, outcome: str, on_its_way_s: float, is_in_touch: bool) -> None:
        """Grant or renew the row; a connected router first renews its lease."""
        number = self.owner
        if self.release_requested:
            return
        if is_in_touch:
            self.last_report_at[number] = self.now
            self.lease_until[number] = self.now + LEASE_TIMING.lease_s
        holds = self.holds[number]
        pending = holds.start_grant(
            self.row, self.now, self.lease_until[number], TIMEOUT_S
        )
        if pending is None:
            return
        self.now += on_its_way_s
        if outcome == "late":
            self.delayed_calls.append(DelayedCall(number, pending, self.now))
        elif outcome == "answered":
            if self.apply(number, pending, self.now):
                holds.on_grant_accepted(pending, self.now)
            else:
                holds.on_grant_refused(pending)

    def apply(self, number: int, pending: PendingGrant, arrived_at: float) -> bool:
        row = pending.row
        hold_s = pending.hold_s / SLOW_CLOCK
        return self.upstreams[number].grant(
            row.first, row.last, row.fence, arrived_at, hold_s
        )

    @rule()
    def carry_out_late(self) -> None:
        for late in self.delayed_calls:
            self.apply(late.upstream, late.pending, late.arrived_at)
        self.delayed_calls = []

    @rule(outcome=st.sampled_from(["answered", "unanswered", "lost"]))
    def release(self, outcome: str) -> None:
        """Send the owner a release of the row."""
        self.release_requested = True
        holds = self.holds[self.owner]
        if not holds.earlier_holds_ended(self.now):
            return
        if outcome != "lost":
            self.upstreams[self.owner].release(0, 99)
        if outcome == "answered":
            holds.on_released(HeldRow(0, 99, self.fence), "token", self.now)
        self.move_if_free()

    def move_if_free(self) -> None:
        """Move the row if its release is requested and its router reports no hold."""
        holds = self.holds[self.owner]
        if (
            self.release_requested
            and holds.earlier_holds_ended(self.now)
            and not holds.held(self.now)
        ):
            self.move()

    @rule()
    def give_up_silent_router(self) -> None:
        """Move the row once the lease of its router has expired at the leader."""
        self.now = max(
            self.now, self.last_report_at[self.owner] + LEASE_TIMING.expiry_s + 0.001
        )
        self.move()

    def move(self) -> None:
        """Assign the row to the next owner and grant it."""
        self.owner = (self.owner + 1) % UPSTREAMS
        self.fence += 1
        self.release_requested = False
        self.grant("answered", 0.0, True)

    @rule(number=st.integers(0, UPSTREAMS - 1))
    def restart_router(self, number: int) -> None:
        self.holds[number] = self.new_holds(self.now)
        self.lease_until[number] = 0.0

    @rule(number=st.integers(0, UPSTREAMS - 1))
    def restart_upstream(self, number: int) -> None:
        """Start a new incarnation, which executes no call of the previous one."""
        self.upstreams[number] = CalledHolds()
        self.holds[number].on_upstream_end()
        self.delayed_calls = [
            one for one in self.delayed_calls if one.upstream != number
        ]

    @invariant()
    def has_one_holder(self) -> None:
        holders = [one.holds_key(KEY, self.now) for one in self.upstreams]
        assert sum(holders) <= 1, (holders, self.owner, self.fence)

    @invariant()
    def sends_requests_only_to_the_owner(self) -> None:
        for number, holds in enumerate(self.holds):
            if number != self.owner and self.upstreams[number].held(self.now):
                assert not holds.holds_key(KEY, self.now)


SingleHolderMachine.TestCase.settings = settings(
    max_examples=600, stateful_step_count=20
)
TestOneHolder = SingleHolderMachine.TestCase

Step = tuple[str, dict[str, Any]]
LATE: Step = ("grant", {"outcome": "late", "on_its_way_s": 0.0, "is_in_touch": True})
GRANT: Step = ("grant", {**LATE[1], "outcome": "answered"})
SLOW: Step = ("grant", {**GRANT[1], "on_its_way_s": TIMEOUT_S})
OUT_OF_TOUCH: Step = ("grant", {**SLOW[1], "is_in_touch": False})
CARRY_OUT: Step = ("carry_out_late", {})
RELEASE: Step = ("release", {"outcome": "answered"})
LOST_RELEASE: Step = ("release", {"outcome": "lost"})
RESTART: Step = ("restart_router", {"number": 0})
GIVE_UP: Step = ("give_up_silent_router", {})


def wait(seconds: float) -> Step:
    return ("pass_time", {"seconds": seconds})


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param((LATE, RELEASE, CARRY_OUT), id="late after its release"),
        pytest.param((LATE, GRANT, RELEASE, CARRY_OUT), id="late after a renewal"),
        pytest.param((LATE, RESTART, RELEASE, CARRY_OUT), id="of an earlier process"),
        pytest.param((GRANT, wait(2.7), OUT_OF_TOUCH, GIVE_UP), id="at a lease's end"),
        pytest.param((SLOW, LOST_RELEASE, wait(3.3)), id="a release that was lost"),
    ],
)
def test_a_key_has_one_holder(steps: tuple[Step, ...]) -> None:
    """Guards against a second holder after late, slow or lost calls."""
    machine = SingleHolderMachine()
    machine.start()
    for name, arguments in steps:
        getattr(machine, name)(**arguments)
        machine.has_one_holder()
        machine.sends_requests_only_to_the_owner()
