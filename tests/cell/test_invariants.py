"""Checks the invariants of a cell under random faults.

The simulation checks after every step that no two hosts serve a slot and that
epochs only grow. Clocks differ by up to 5%.
"""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from sassafraswharf.cell.commands import DrainUpstream
from sassafraswharf.cell.state import CellState
from sassafraswharf.membership.values import UpstreamState
from tests.cell.simulation import SERVICE
from tests.cell.simulation import SLOTS
from tests.cell.simulation import Host
from tests.cell.simulation import Simulation


RATES = st.sampled_from([1.0, 1.01, 1.03, 1.05])
HOSTS = st.integers(0, 2)


class CellMachine(RuleBasedStateMachine):
    sim: Simulation

    @initialize(
        rates=st.tuples(RATES, RATES, RATES), leader=RATES, seed=st.integers(0, 999)
    )
    def start(self, rates: Any, leader: float, seed: int) -> None:
        self.sim = Simulation(rates, seed=seed)
        self.sim.leader_rate = leader
        self.sim.change_leader()
        self.sim.run(1.5)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0]))
    def run(self, seconds: float) -> None:
        self.sim.run(seconds)

    @rule(number=HOSTS, frozen=st.booleans())
    def pause(self, number: int, frozen: bool) -> None:
        host = self.sim.hosts[number]
        if frozen:
            host.paused = True
        elif host.paused:
            self.sim.resume(host)

    @rule(number=HOSTS, cut=st.booleans())
    def partition(self, number: int, cut: bool) -> None:
        self.sim.hosts[number].partitioned = cut

    @rule(loss=st.sampled_from([0.0, 0.2, 0.5]), delay_s=st.sampled_from([0, 0.3, 2]))
    def network(self, loss: float, delay_s: float) -> None:
        self.sim.loss, self.sim.delay_s = loss, delay_s

    @rule(keep_log=st.booleans())
    def leader_change(self, keep_log: bool) -> None:
        self.sim.change_leader(keep_log)

    @rule(number=HOSTS)
    def restart_router(self, number: int) -> None:
        host = self.sim.hosts[number]
        if not host.paused:
            host.restart_router()

    @rule(number=HOSTS, kill=st.booleans())
    def upstream_process(self, number: int, kill: bool) -> None:
        host = self.sim.hosts[number]
        if not host.paused:
            (host.kill_upstream if kill else host.start_upstream)()

    @rule(number=HOSTS)
    def drain(self, number: int) -> None:
        upstream = self.sim.hosts[number].upstream
        self.sim.append(DrainUpstream(upstream, "operator"))

    def teardown(self) -> None:
        if not hasattr(self, "sim"):
            return
        self.sim.loss = self.sim.delay_s = 0.0
        for host in self.sim.hosts:
            host.partitioned = False
            self.sim.resume(host)
            host.start_upstream()
        # A single check could fall within a planned handover, so it is repeated.
        for _ in range(1_200):
            if self.is_settled():
                break
            self.sim.step()
        assert self.is_settled()
        restored = CellState()
        restored.restore(self.sim.state.snapshot())
        assert restored.snapshot() == self.sim.state.snapshot()
        assert restored.delta_since(0) == self.sim.state.delta_since(0)
        assert restored.list_versions == self.sim.state.list_versions
        for host in self.sim.hosts:
            if host.view.version == self.sim.state.version:
                assert host.view.upstreams == self.sim.state.upstreams
                assert host.view.sessions == self.sim.state.sessions

    def is_settled(self) -> bool:
        table = self.sim.state.tables[SERVICE]
        remaining = any(self.is_admitted(host) for host in self.sim.hosts)
        return self.sim.served() == (SLOTS if remaining else 0) and all(
            SERVICE in host.view.tables
            and host.view.tables[SERVICE].runs() == table.runs()
            for host in self.sim.hosts
        )

    def is_admitted(self, host: Host) -> bool:
        upstream = self.sim.state.upstreams.get(host.upstream)
        return upstream is not None and upstream.state == UpstreamState.ADMITTED


TestCell = CellMachine.TestCase
TestCell.settings = settings(max_examples=30, stateful_step_count=25)
