"""Disables each safety mechanism in turn to check that the violation is detected.

Every scenario keeps the invariant of the simulation with all mechanisms enabled
and violates it when the named one is disabled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from sassafraswharf.cell import slot_changes
from sassafraswharf.cell.commands import CloseSlots
from sassafraswharf.cell.commands import DrainUpstream
from sassafraswharf.cell.commands import SlotsReleased
from sassafraswharf.cell.members import Members
from sassafraswharf.cell.state import CellState
from sassafraswharf.cell.view import CellView
from sassafraswharf.leases.grantor import LeaseGrantor
from sassafraswharf.leases.messages import LeaseTiming
from sassafraswharf.membership.values import SessionState
from sassafraswharf.ownership.values import SlotRange
from tests.cell.simulation import SERVICE
from tests.cell.simulation import SLOTS
from tests.cell.simulation import Simulation


if TYPE_CHECKING:
    from collections.abc import Callable


def slow_holder(off: bool) -> None:
    """Partition a host whose clock is 5% slower than the leader's."""
    timing = LeaseTiming(drift_margin_s=0.0) if off else None
    for phase in range(5):
        sim = Simulation((1.0, 1.05, 1.05), timing)
        sim.leader_rate = 1.05
        sim.change_leader()
        sim.run(2.0 + phase * 0.05)
        sim.step_s, sim.latency_s, sim.commit_s, sim.pull_s = 0.002, 0.0005, 0.0, 0.0
        sim.run(0.5)
        sim.hosts[0].partitioned = True
        sim.run(1.2)


def leader_lost_with_host(off: bool) -> None:
    """Change the leader just after a host was partitioned."""
    sim = Simulation()
    sim.run(2.0)
    sim.hosts[0].partitioned = True
    sim.leader_waits_for_old_leases = not off
    sim.change_leader()
    sim.run(1.5)


def closing_in_old_log(off: bool) -> None:
    """Let the next leader commit the ``CloseSession`` of an expired session."""
    sim = Simulation()
    sim.run(2.0)
    sim.hosts[0].partitioned = True
    while not any(type(entry[1]).__name__ == "CloseSession" for entry in sim.log):
        sim.step()
    held = [(at + 0.2, *rest) for at, *rest in sim.log]
    sim.log[:] = held
    sim.hosts[0].partitioned = False
    sim.apply_before_grants = not off
    sim.change_leader()
    sim.run(1.5)


def expired_session_renews(off: bool, patch: pytest.MonkeyPatch) -> None:
    """Renew a session while its ``CloseSession`` is in the log but not applied."""
    if off:
        patch.setattr(LeaseGrantor, "on_session_superseded", lambda *_: None)
    sim = Simulation()
    sim.run(2.0)
    sim.hosts[0].partitioned = True
    while not sim.log:
        sim.step()
    sim.log[:] = [(at + 0.3, *rest) for at, *rest in sim.log]
    sim.hosts[0].partitioned = False
    sim.run(1.5)


def router_restart(off: bool, patch: pytest.MonkeyPatch) -> None:
    """Restart a router while its upstream has requests in flight."""
    if off:
        patch.setattr(
            Members,
            "may_hold_lease",
            lambda self, session: (
                session in self.sessions
                and self.sessions[session].state == SessionState.OPEN
            ),
        )
    for seed in range(20):
        sim = Simulation(seed=seed)
        sim.run(2.0)
        sim.hosts[0].restart_router()
        sim.hosts[0].partitioned = seed % 2 == 0
        sim.hosts[0].open()
        sim.run(2.0)


def late_assignment(off: bool, patch: pytest.MonkeyPatch) -> None:
    """Restart an upstream before the assignment of its slots is applied."""
    if off:
        patch.setattr(
            slot_changes,
            "assign",
            lambda table, command, index, _, accepts, real=slot_changes.assign: real(
                table, command, index, lambda _: True, accepts
            ),
        )
    sim = Simulation()
    sim.run(2.0)
    host = sim.hosts[0]
    host.kill_upstream()
    while not any(type(entry[1]).__name__ == "AssignSlots" for entry in sim.log):
        sim.step()
    late = [(at + 1.0, *rest) for at, *rest in sim.log]
    sim.log.clear()
    host.start_upstream()
    host.report_upstream()
    host.step()
    while not sim.log:
        sim.time += 0.01
        while sim.network and sim.network[0][0] <= sim.time:
            sim.network.pop(0)[2]()
    sim.log.extend(late)
    sim.run(2.0)


def restart_with_old_view(off: bool, patch: pytest.MonkeyPatch) -> None:
    """Restart an upstream before its router has seen the reassignment."""
    if off:
        patch.setattr(CellView, "may_serve", may_serve_any_incarnation)
    sim = Simulation()
    sim.run(2.0)
    host = sim.hosts[0]
    host.kill_upstream()
    host.report_upstream()
    host.last_attempt_at = {"pull": host.now() + 0.5, "report": host.now() + 0.5}
    sim.run(0.02)
    host.start_upstream()
    sim.run(1.5)


def may_serve_any_incarnation(
    self: CellView, service: Any, slot: int, session: Any, running: Any
) -> bool:
    if service not in self.tables:
        return False
    holding = self.tables[service].holding(slot)
    return (
        holding.upstream in running
        and holding.session == session
        and not holding.closing
    )


def early_release(off: bool) -> None:
    """Deliver a ``SlotsReleased`` of an earlier epoch during the next handover."""
    sim = Simulation()
    if off:
        sim.rewrite_command = lambda command: (
            command._replace(epoch=2**40)
            if isinstance(command, SlotsReleased)
            else command
        )
    sim.run(2.0)
    host = sim.hosts[0]
    table = sim.state.tables[SERVICE]
    slot = next(s for s in range(SLOTS) if host.accepts(s))
    runs = (SlotRange(slot, 1),)
    old = SlotsReleased(SERVICE, runs, sim.state.version, host.holder.session)
    sim.append(CloseSlots(SERVICE, runs))
    while not host.accepts(slot) or table.epoch(slot) <= old.epoch:
        sim.step()
    host.work_ends_at[slot] = host.now() + 0.6
    sim.append(DrainUpstream(host.upstream, "operator"))
    sim.append(old)
    sim.run(1.0)


def drain_with_work(off: bool, patch: pytest.MonkeyPatch) -> None:
    """Drain an upstream that has requests in flight."""
    if off:
        real = CellState.is_orphaned
        patch.setattr(
            CellState,
            "is_orphaned",
            lambda self, holding: holding.closing or real(self, holding),
        )
    sim = Simulation()
    sim.run(2.0)
    host = sim.hosts[0]
    for slot in range(SLOTS):
        if host.accepts(slot):
            host.work_ends_at[slot] = host.now() + 0.5
    sim.append(DrainUpstream(host.upstream, "operator"))
    sim.run(2.0)


SCENARIOS: dict[str, Callable[..., None]] = {
    "drift margin": slow_holder,
    "waiting period of a new leader": leader_lost_with_host,
    "entries applied before grants": closing_in_old_log,
    "no renewal after expiry": expired_session_renews,
    "superseded sessions keep slots": router_restart,
    "owner check at application": late_assignment,
    "incarnation check in the view": restart_with_old_view,
    "epoch check of releases": early_release,
    "release before assignment": drain_with_work,
}


def run_scenario(name: str, off: bool, patch: pytest.MonkeyPatch) -> None:
    scenario = SCENARIOS[name]
    needs_patch = scenario.__code__.co_argcount > 1
    scenario(off, patch) if needs_patch else scenario(off)


@pytest.mark.parametrize("name", SCENARIOS)
def test_invariant_holds(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two hosts that serve the same slot at once."""
    run_scenario(name, False, monkeypatch)


@pytest.mark.parametrize("name", SCENARIOS)
def test_check_fails_without(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an invariant check that can't fail."""
    with pytest.raises(AssertionError, match="is served by"):
        run_scenario(name, True, monkeypatch)
