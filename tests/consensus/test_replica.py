from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

import pytest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from sassafraswharf.consensus import log
from sassafraswharf.consensus import snapshots
from tests.consensus import simulation as sim


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


HOSTS = st.integers(min_value=0, max_value=4)


@pytest.fixture(autouse=True)
def _small_sizes() -> Iterator[None]:
    """Make snapshots and their transfer in chunks frequent."""
    with (
        mock.patch.object(log, "RETAINED_ENTRIES", 5),
        mock.patch.object(snapshots, "CHUNK_BYTES", 64),
    ):
        yield


class GroupMachine(RuleBasedStateMachine):
    """Random faults; ``Cluster`` checks the invariants in every step."""

    @initialize(
        count=st.integers(3, 5), seed=st.integers(0, 2**16), settled=st.booleans()
    )
    def create(self, count: int, seed: int, settled: bool) -> None:
        self.cluster = sim.Cluster(count, seed)
        self.proposed = 0
        if settled:
            self.cluster.run(1.5)

    @rule(seconds=st.sampled_from(sim.DURATIONS_S), faults=st.sampled_from(sim.FAULTS))
    def run(self, seconds: float, faults: sim.Faults) -> None:
        self.cluster.run(seconds, faults)

    @rule(count=st.integers(1, 15))
    def propose(self, count: int) -> None:
        for _ in range(count):
            self.proposed += 1
            self.cluster.propose_everywhere(self.proposed)

    @rule(method=st.sampled_from(sim.FAULT_METHODS), host=HOSTS)
    def inject(self, method: Callable[[sim.Cluster, str], object], host: int) -> None:
        method(self.cluster, self.cluster.names[host % len(self.cluster.names)])

    @rule(first=HOSTS, second=HOSTS)
    def cut(self, first: int, second: int) -> None:
        names = self.cluster.names
        pair = (names[first % len(names)], names[second % len(names)])
        self.cluster.cut.add(frozenset(pair))

    @rule()
    def settle(self) -> None:
        self.cluster.recover()
        self.cluster.run(1.0)

    def teardown(self) -> None:
        self.cluster.check_recovery()


class TestGroup(GroupMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against split brain and against loss of acknowledged commands."""

    settings = settings(max_examples=60, stateful_step_count=25)
