"""Tests that acknowledged changes survive disk losses and power loss at any time."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from unittest import mock

import pytest

from sassafraswharf.consensus import log
from sassafraswharf.consensus import snapshots
from sassafraswharf.consensus.replica import Replica
from tests.consensus import simulation as sim
from tests.consensus.changing_cluster import DISTURBANCES
from tests.consensus.changing_cluster import ChangingCluster
from tests.consensus.changing_cluster import FinalFault


if TYPE_CHECKING:
    from collections.abc import Iterator


SCENARIOS = 40
DISTURBANCES_PER_SCENARIO = 4
MAX_STEPS_BEFORE_FAULT = 40


@pytest.fixture(autouse=True)
def _small_sizes() -> Iterator[None]:
    """Make snapshots and their transfer in chunks frequent."""
    with (
        mock.patch.object(log, "RETAINED_ENTRIES", 5),
        mock.patch.object(snapshots, "CHUNK_BYTES", 64),
    ):
        yield


def run_scenario(seed: int, count: int, fault: FinalFault) -> ChangingCluster:
    """Run disturbances, a change and the final fault 0 to 400 ms after it."""
    rng = random.Random(seed)
    cluster = ChangingCluster(count, seed)
    cluster.wait_for_voters()
    number = 0
    for _ in range(DISTURBANCES_PER_SCENARIO):
        rng.choice(DISTURBANCES)(
            cluster, rng.choice([*cluster.names, *cluster.current()])
        )
        for _ in range(rng.randint(1, 8)):
            number += 1
            cluster.change(b"%d" % number)
            cluster.run(rng.choice((0.01, 0.05, 0.3)), rng.choice(sim.FAULTS))
        cluster.settle()
    faults = rng.choice(sim.FAULTS)
    for name in rng.sample(cluster.names, rng.randint(0, 3)):
        cluster.stall_disk(name)
    at_acknowledgement = rng.random() < 0.5
    for step in range(rng.randint(1, MAX_STEPS_BEFORE_FAULT)):
        if step % 10 == 0:
            number += 1
            cluster.change(b"%d" % number)
        known = len(cluster.acknowledged)
        cluster.run(sim.STEP_S, faults)
        if at_acknowledgement and len(cluster.acknowledged) > known:
            break
    cluster.end(fault)
    cluster.check_acknowledged()
    return cluster


def run_scenarios(count: int, fault: FinalFault) -> None:
    for seed in range(SCENARIOS):
        assert run_scenario(seed, count, fault).acknowledged


@pytest.mark.parametrize("fault", FinalFault, ids=lambda one: one.name.lower())
@pytest.mark.parametrize("count", [5, 7])
def test_acknowledged_changes_survive_the_final_fault(
    count: int, fault: FinalFault
) -> None:
    """Guards against an acknowledged change that is lost with disks and power."""
    run_scenarios(count, fault)


def test_replaced_voter_joins_again() -> None:
    """Guards against hosts that return and never rejoin the group.

    A voter that was down does not know that another host has replaced it.
    """
    cluster = ChangingCluster(6, 1)
    cluster.wait_for_voters()
    for name in cluster.committed_voters().voters[:3]:
        cluster.stay_away(sim.host_name(name))
        assert name not in cluster.committed_voters().members
        cluster.settle()
        assert name in cluster.committed_voters().members
    cluster.check_acknowledged()


UNSAFE = {
    "durable_index": lambda replica: replica.verified_index,
    "is_up_to_date": lambda *_: True,
}


@pytest.mark.parametrize("method", UNSAFE)
def test_final_fault_shows_a_missing_mechanism(method: str) -> None:
    """Guards against scenarios whose checks can't detect a loss."""
    with (
        mock.patch.object(Replica, method, UNSAFE[method]),
        pytest.raises(sim.ViolationError, match="lacks committed entry"),
    ):
        run_scenarios(5, FinalFault.WIPE_ALL_STOP)
