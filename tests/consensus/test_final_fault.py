"""The end of a day: what was acknowledged is there after the final fault."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from unittest import mock

import pytest

from sassafraswharf.consensus import log
from sassafraswharf.consensus import snapshots
from sassafraswharf.consensus.replica import Replica
from tests.consensus import simulation as sim
from tests.consensus.day import EVENTS
from tests.consensus.day import Day
from tests.consensus.day import FinalFault


if TYPE_CHECKING:
    from collections.abc import Iterator


DAYS = 40
EVENTS_A_DAY = 4
LATEST_STEPS = 40


@pytest.fixture(autouse=True)
def _small_sizes() -> Iterator[None]:
    """Make snapshots and their transfer in chunks frequent."""
    with (
        mock.patch.object(log, "RETAINED_ENTRIES", 5),
        mock.patch.object(snapshots, "CHUNK_BYTES", 64),
    ):
        yield


def play(seed: int, count: int, fault: FinalFault) -> Day:
    """Play disturbances, a change and the final fault 0 to 400 ms after it."""
    rng = random.Random(seed)
    day = Day(count, seed)
    day.wait_for_voters()
    number = 0
    for _ in range(EVENTS_A_DAY):
        rng.choice(EVENTS)(day, rng.choice([*day.names, *day.current()]))
        for _ in range(rng.randint(1, 8)):
            number += 1
            day.change(b"%d" % number)
            day.run(rng.choice((0.01, 0.05, 0.3)), rng.choice(sim.FAULTS))
        day.settle()
    faults = rng.choice(sim.FAULTS)
    for name in rng.sample(day.names, rng.randint(0, 3)):
        day.stall_disk(name)
    at_acknowledgement = rng.random() < 0.5
    for step in range(rng.randint(1, LATEST_STEPS)):
        if step % 10 == 0:
            number += 1
            day.change(b"%d" % number)
        known = len(day.acknowledged)
        day.run(sim.STEP_S, faults)
        if at_acknowledgement and len(day.acknowledged) > known:
            break
    day.end(fault)
    day.check_acknowledged()
    return day


def play_days(count: int, fault: FinalFault) -> None:
    for seed in range(DAYS):
        assert play(seed, count, fault).acknowledged


@pytest.mark.parametrize("fault", FinalFault, ids=lambda one: one.name.lower())
@pytest.mark.parametrize("count", [5, 7])
def test_acknowledged_changes_survive_the_final_fault(
    count: int, fault: FinalFault
) -> None:
    """Guards against an acknowledged change that is lost with disks and power."""
    play_days(count, fault)


def test_replaced_voter_joins_again() -> None:
    """Guards against hosts that return and take no part in the group any more.

    A voter that was away does not know that another host has its place.
    """
    day = Day(6, 1)
    day.wait_for_voters()
    for name in day.committed_voters().voters[:3]:
        day.stay_away(sim.host_name(name))
        assert name not in day.committed_voters().members
        day.settle()
        assert name in day.committed_voters().members
    day.check_acknowledged()


UNSAFE = {
    "durable_index": lambda replica: replica.verified_index,
    "is_up_to_date": lambda *_: True,
}


@pytest.mark.parametrize("method", UNSAFE)
def test_final_fault_shows_a_missing_mechanism(method: str) -> None:
    """Guards against days whose end can't show a loss."""
    with (
        mock.patch.object(Replica, method, UNSAFE[method]),
        pytest.raises(sim.ViolationError, match="lacks committed entry"),
    ):
        play_days(5, FinalFault.WIPE_ALL_STOP)
