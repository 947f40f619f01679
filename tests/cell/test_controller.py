from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sassafraswharf.cell.commands import AssignSlots
from sassafraswharf.cell.commands import CloseSessions
from sassafraswharf.cell.commands import CloseSlots
from sassafraswharf.cell.commands import DrainUpstream
from sassafraswharf.cell.controller import WORK_PER_TICK
from sassafraswharf.cell.controller import CellController
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.hashing import MAX_SLOT_COUNT
from sassafraswharf.placement.load_view import LoadView
from sassafraswharf_bench.cell_scale import Cell
from sassafraswharf_bench.young_service import NewServiceSimulation
from tests.cell.simulation import SERVICE
from tests.cell.simulation import SLOTS
from tests.cell.simulation import Simulation


if TYPE_CHECKING:
    from sassafraswharf.ownership.slot_table import SlotTable


def test_settled_cell_needs_no_commands() -> None:
    """Guards against commands without a cause and slots that oscillate."""
    sim = Simulation()
    sim.run(3.0)
    index = sim.index
    sim.run(60.0)
    assert sim.index == index


def test_slots_return_after_a_router_restart() -> None:
    """Guards against slots that move because only a router was restarted."""
    sim = Simulation()
    sim.run(2.0)
    owners = [sim.state.tables[SERVICE].at(slot).upstream for slot in range(SLOTS)]
    sim.hosts[0].restart_router()
    sim.run(3.0)
    after = [sim.state.tables[SERVICE].at(slot).upstream for slot in range(SLOTS)]
    assert after == owners
    assert sim.served() == SLOTS
    assert sim.state.counters.slots_moved == 0


@pytest.mark.parametrize("leader_too", [False, True])
def test_lost_host_is_replaced_within_two_seconds(leader_too: bool) -> None:
    """Guards against slots without an owner 2 s after the loss of a host."""
    sim = Simulation()
    sim.run(2.0)
    sim.hosts[0].partitioned = True
    sim.hosts[0].paused = True
    if leader_too:
        sim.run(0.5)
        sim.change_leader()
    sim.run(2.0 - 0.5 * leader_too)
    assert sum(bool(set(sim.serving(s)) - {"h0"}) for s in range(SLOTS)) == SLOTS
    sim.resume(sim.hosts[0])
    assert not any("h0" in sim.serving(slot) for slot in range(SLOTS))


def test_leaving_upstream_gets_no_new_work() -> None:
    """Guards against requests or slots for an upstream 2 s after its drain."""
    sim = Simulation()
    sim.run(2.0)
    sim.append(DrainUpstream(sim.hosts[1].upstream, "operator"))
    sim.run(2.0)
    for _ in range(500):
        sim.step()
        assert not any(sim.hosts[1].accepts(slot) for slot in range(SLOTS))
    assert sim.state.upstreams[sim.hosts[1].upstream].state == UpstreamState.GONE
    assert sim.served() == SLOTS


def test_new_upstream_gets_slots() -> None:
    """Guards against admitted upstreams that are never assigned slots."""
    sim = Simulation()
    sim.hosts[2].paused = True
    sim.run(3.0)
    sim.resume(sim.hosts[2])
    sim.run(60.0)
    table = sim.state.tables[SERVICE]
    owners = [table.at(slot).upstream for slot in range(SLOTS)]
    assert [owners.count(host.upstream) for host in sim.hosts] == [4, 4, 4]


def test_started_move_is_not_repeated() -> None:
    """Guards against closing slots again whose handover is in progress."""
    sim = Simulation()
    sim.hosts[2].paused = True
    sim.run(3.0)
    sim.resume(sim.hosts[2])
    for host in sim.hosts:
        host.last_attempt_at["report"] = host.now() + 3
        if host is sim.hosts[2]:
            host.last_attempt_at["report"] = 0.0
    closed: list[int] = []
    sim.rewrite_command = lambda command: closed.extend(_slots(command)) or command
    sim.run(2.5)
    assert closed
    assert len(closed) == len(set(closed))


def _slots(command: object) -> list[int]:
    if not isinstance(command, CloseSlots):
        return []
    return [s for r in command.runs for s in range(r.start, r.start + r.length)]


def test_journal_peers_are_in_other_zones_and_replaced() -> None:
    """Guards against journal copies in one zone, or on a host that was lost."""
    sim = Simulation((1.0,) * 6)
    sim.run(2.0)
    zones = {s.session: s.zone for s in sim.state.sessions.values()}
    for session in sim.state.sessions.values():
        peers = {zones[peer] for peer in session.pending_peers or session.peers}
        assert len(peers | {session.zone}) == 3
    lost = sim.hosts[0].holder.session
    commands = CellController().tick(sim.state, [lost], LoadView(), 0.0)
    new = [c for c in commands if type(c).__name__ == "SetJournalPeers"]
    assert new
    assert all(lost not in c.peers and c.session != lost for c in new)


def test_the_work_of_a_tick_is_bounded() -> None:
    """Guards against a leader that blocks while it places a lost zone's slots."""
    cell = Cell()
    sessions = [cell.add_host(number, f"zone-{number % 3}") for number in range(30)]
    most = slots = ticks = 0
    lost: list[int] = []
    for expired in ([], sessions[::3]):
        lost += expired
        while cell.orphans() or lost:
            cell.now += 0.05
            decided = cell.controller.tick(cell.state, lost, cell.loads, cell.now)
            lost = []
            closes = [c for c in decided if isinstance(c, CloseSessions)]
            assert len(closes) <= 1
            placed = sum(
                part.length
                for command in decided
                if isinstance(command, AssignSlots)
                for part in command.assignments
            )
            most, slots, ticks = max(most, placed), slots + placed, ticks + bool(placed)
            for command in decided:
                cell.apply(command)
    assert most <= WORK_PER_TICK
    assert slots == MAX_SLOT_COUNT + cell.state.counters.slots_moved
    assert ticks < 40
    table = cell.state.tables[SERVICE]
    shares = [_slots_of(table, upstream) for upstream in _live(cell)]
    assert max(shares) - min(shares) <= 2


def _slots_of(table: SlotTable, upstream: str) -> int:
    return len(table.slots_where(lambda holding: holding.upstream == upstream))


def _live(cell: Cell) -> list[str]:
    return [
        str(upstream.upstream)
        for upstream in cell.state.upstreams.values()
        if cell.state.members.may_hold_lease(upstream.session)
    ]


@pytest.mark.parametrize(
    ("upstreams", "load", "within_s"), [(3, 100.0, 3.0), (10, 0.0, 3.0)]
)
def test_a_new_service_spreads_at_once(
    upstreams: int, load: float, within_s: float
) -> None:
    """Guards against a first upstream that keeps most slots for minutes."""
    found = NewServiceSimulation(4_096, upstreams, load).run()
    assert isinstance(found["balanced_s"], float)
    assert found["balanced_s"] <= within_s


def test_a_service_with_an_owner_does_not_collect() -> None:
    """Guards against orphaned slots that wait for more upstreams to join."""
    sim = Simulation()
    sim.run(2.0)
    lost = sim.hosts[0].holder.session
    commands = CellController().tick(sim.state, [lost], LoadView(), 0.0)
    assert any(isinstance(command, AssignSlots) for command in commands)
