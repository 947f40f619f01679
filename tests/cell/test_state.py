from __future__ import annotations

from typing import Any

import pytest

from sassafraswharf.cell import commands
from sassafraswharf.cell.codec import decode_reply
from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.commands import ServiceSpec
from sassafraswharf.cell.members import MAX_GONE_UPSTREAMS
from sassafraswharf.cell.state import CellState
from sassafraswharf.cell.view import CellView
from sassafraswharf.codes import ResultCode
from sassafraswharf.membership.values import SessionState
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.values import SlotRange


SERVICE = "diary"
UP = "u1"
ALL = (SlotRange(0, 8),)


class Log:
    """Applies commands in order, at intervals of one second."""

    def __init__(self, admit_any: bool = True) -> None:
        self.state = CellState()
        self.index = 0
        self.do(commands.SetServices(1, (ServiceSpec(SERVICE, 8, admit_any),)))

    def do(self, command: Any) -> Any:
        self.index += 1
        command = command._replace(at=float(self.index))
        return decode_reply(
            self.state.apply(self.index, encode_command(command))
        ).unwrap()

    def open(self, host: str = "h1", incarnation: int = 1) -> Any:
        return self.do(
            commands.OpenSession(host, incarnation, "z", "", "", "", "")
        ).session

    def announce(
        self, session: int, incarnation: int = 1, host: str = "h1", name: str = "u1"
    ) -> Any:
        return self.do(
            commands.AnnounceUpstream(
                name, host, session, SERVICE, "", 4, 4, True, incarnation, 1.0
            )
        )

    def assign(self, session: int, name: str = "u1") -> Any:
        part = commands.Assignment(0, 8, name, session)
        return self.do(commands.AssignSlots(SERVICE, (part,)))


ADMIT = commands.AdmitUpstream(UP, "op")
DRAIN = commands.DrainUpstream(UP, "op")
REMOVE = commands.RemoveUpstream(UP, "op")
LOST = commands.UpstreamLost(UP, 1)
BACK = 2
SAME = 1


@pytest.mark.parametrize(
    ("steps", "state", "code"),
    [
        ([], UpstreamState.ANNOUNCED, 0),
        ([ADMIT], UpstreamState.ADMITTED, 0),
        ([ADMIT, ADMIT], UpstreamState.ADMITTED, 4002),
        ([REMOVE], UpstreamState.GONE, 0),
        ([ADMIT, REMOVE], UpstreamState.ADMITTED, 4002),
        ([ADMIT, DRAIN], UpstreamState.DRAINING, 0),
        ([ADMIT, DRAIN, ADMIT], UpstreamState.DRAINING, 4002),
        ([ADMIT, DRAIN, BACK], UpstreamState.DRAINING, 0),
        ([ADMIT, DRAIN, REMOVE], UpstreamState.GONE, 0),
        ([ADMIT, DRAIN, REMOVE, SAME], UpstreamState.GONE, 4002),
        ([ADMIT, DRAIN, REMOVE, BACK], UpstreamState.ANNOUNCED, 0),
        ([ADMIT, LOST], UpstreamState.LOST, 0),
        ([ADMIT, LOST, SAME], UpstreamState.LOST, 4002),
        ([ADMIT, LOST, BACK], UpstreamState.ADMITTED, 0),
        ([ADMIT, BACK, LOST], UpstreamState.ADMITTED, 4002),
        ([ADMIT, BACK, SAME], UpstreamState.ADMITTED, 4002),
        ([ADMIT, DRAIN, LOST], UpstreamState.GONE, 0),
        ([commands.AdmitUpstream("x", "op")], UpstreamState.ANNOUNCED, 4001),
    ],
)
def test_upstream_states(steps: list[Any], state: UpstreamState, code: int) -> None:
    """Guards against upstreams that own slots before admission or after removal."""
    log = Log(admit_any=False)
    session = log.open()
    reply = log.announce(session)
    for step in steps:
        reply = log.announce(session, step) if isinstance(step, int) else log.do(step)
    assert (log.state.upstreams[UP].state, reply.code) == (state, code)


def test_drain_closes_slots_and_waits_for_release() -> None:
    """Guards against new requests on a draining upstream and early reassignment."""
    log = Log()
    session = log.open()
    log.announce(session)
    log.assign(session)
    log.do(DRAIN)
    table = log.state.tables[SERVICE]
    assert all(table.at(slot).closing for slot in range(8))
    assert log.do(REMOVE).code == ResultCode.INVALID_TRANSITION
    other = log.open("h2")
    log.announce(other, host="h2", name="u2")
    assert log.assign(other, "u2").changed == 0
    assert log.assign(session).changed == 0
    stale = commands.SlotsReleased(SERVICE, ALL, 3, session)
    assert log.do(stale).changed == 0
    assert log.do(stale._replace(epoch=log.state.version)).changed == 8
    assert log.assign(session).changed == 0
    assert log.assign(other, "u2").changed == 8
    assert table.at(0).sources == (session,)
    ready = commands.JournalReady(SERVICE, ALL, table.epoch(0), other)
    assert log.do(ready._replace(epoch=3)).changed == 0
    assert log.do(ready).changed == 8
    assert table.at(0).sources == ()
    assert log.do(REMOVE).code == 0
    assert log.state.counters.slots_moved == 8


@pytest.mark.parametrize(
    ("incarnation", "first_state", "is_new"),
    [
        (1, SessionState.OPEN, False),
        (2, SessionState.SUPERSEDED, True),
        (0, SessionState.OPEN, False),
    ],
)
def test_second_session_of_a_host(
    incarnation: int, first_state: SessionState, is_new: bool
) -> None:
    """Guards against duplicate or delayed requests that end a live session."""
    log = Log()
    first = log.open()
    log.announce(first)
    log.assign(first)
    second = log.open(incarnation=incarnation)
    assert log.state.sessions[first].state == first_state
    assert (second == log.index) is is_new
    other = log.open("h2")
    log.announce(other, host="h2", name="u2")
    assert log.assign(other, "u2").changed == 0


def test_upstream_stays_with_a_live_host() -> None:
    """Guards against two routers that send requests to the same upstream."""
    log = Log()
    first, second = log.open(), log.open("h2")
    log.announce(first)
    assert log.announce(second, 2, "h2").code == ResultCode.INVALID_TRANSITION
    log.do(commands.CloseSession(first, "lease expired"))
    assert log.announce(second, 2, "h2").code == 0


@pytest.mark.parametrize(
    ("revision", "slots", "code"),
    [(1, 8, 0), (0, 8, 2001), (2, 8, 0), (2, 9, 2003), (2, 70_000, 2003)],
)
def test_services_change(revision: int, slots: int, code: int) -> None:
    """Guards against older revisions and a changed slot count of a service."""
    log = Log()
    spec = ServiceSpec(SERVICE, slots, admit_any=True)
    assert log.do(commands.SetServices(revision, (spec,))).code == code
    assert log.state.tables[SERVICE].slot_count == 8


def test_journal_peers_count_when_they_are_ready() -> None:
    """Guards against a journal set in use before records are copied to it."""
    log = Log()
    session = log.open()
    first, second = (90,), (91,)
    log.do(commands.SetJournalPeers(session, 1, first))
    assert log.state.sessions[session].peers == first
    log.do(commands.SetJournalPeers(session, 2, second))
    assert log.state.sessions[session].peers == first
    assert log.do(commands.SetJournalPeers(session, 2, first)).code == 4003
    assert log.do(commands.JournalPeersReady(session, 1)).code == 4003
    log.do(commands.JournalPeersReady(session, 2))
    assert log.state.sessions[session].peers == second


def test_closed_sessions_are_kept_while_named() -> None:
    """Guards against pruning a session that is the source of a slot."""
    log = Log()
    first, second = log.open(), log.open("h2")
    log.do(commands.SetJournalPeers(first, 1, (second,)))
    log.announce(first)
    log.assign(first)
    log.do(commands.CloseSession(second, "stopped"))
    log.do(commands.CloseSession(first, "stopped"))
    assert {first, second} <= set(log.state.sessions)
    third = log.open("h3")
    log.announce(third, host="h3", name="u3")
    log.assign(third, "u3")
    assert first in log.state.sessions
    epoch = log.state.tables[SERVICE].epoch(0)
    log.do(commands.JournalReady(SERVICE, ALL, epoch, third))
    assert set(log.state.sessions) == {third}


def test_unavailable_time_is_counted() -> None:
    """Guards against orphaned slots that don't count as unavailable."""
    log = Log()
    session = log.open()
    log.announce(session)
    log.assign(session)
    before = log.state.counters.unavailable_slot_s
    log.do(LOST)
    log.announce(session, 2)
    log.do(commands.UpstreamLost(UP, 2))
    log.do(commands.ReportCrash(UP, 2, (b"x",), False))
    assert log.state.counters.unavailable_slot_s - before == 8 + 8


def test_audit_has_changes_and_refused_orders() -> None:
    """Guards against changes and refused commands without an audit entry."""
    log = Log()
    session = log.open()
    log.announce(session)
    log.announce(session)
    log.do(commands.AdmitUpstream(UP, "alice"))
    seen = [(e.actor, e.action, e.code) for e in log.state.audit_trail.entries]
    assert seen == [
        ("configuration", "SetServices", 0),
        ("h1", "OpenSession", 0),
        ("h1", "AnnounceUpstream", 0),
        ("alice", "AdmitUpstream", 4002),
    ]


def test_a_delta_carries_only_the_lists_that_changed() -> None:
    """Guards against 30 KB of unchanged lists in each delta, and missed changes."""
    log = Log()
    session = log.open()
    log.announce(session)
    log.assign(session)
    view = CellView()
    view.apply(log.state.delta_since(0)).unwrap()
    crash = commands.ReportCrash(UP, 1, (b"digest",), False)
    steps: list[tuple[Any, set[str]]] = [
        (commands.CloseSlots(SERVICE, ALL), set()),
        (crash, {"convictions", "suspects"}),
        (DRAIN, {"upstreams"}),
        (commands.SetJournalPeers(session, 1, ()), {"sessions"}),
        (commands.CloseSession(session, "end"), {"sessions"}),
    ]
    for command, changed in steps:
        assert log.do(command).code == ResultCode.OK
        state = CellState()
        state.restore(log.state.snapshot())
        delta = state.delta_since(view.version)
        assert delta == log.state.delta_since(view.version)
        lists = ("upstreams", "sessions", "convictions", "suspects")
        assert {n for n in lists if getattr(delta, n) is not None} == changed
        view.apply(delta).unwrap()
        assert view.upstreams == log.state.upstreams
        assert view.sessions == log.state.sessions
        assert view.suspects == set(log.state.suspects.suspected())


def test_a_suspicion_that_ended_reaches_routers() -> None:
    """Guards against expired suspects that routers keep.

    An expiry alone doesn't change the version of the cell.
    """
    log = Log()
    session = log.open()
    log.do(commands.ReportCrash(UP, 1, (b"digest",), False))
    view = CellView()
    view.apply(log.state.delta_since(0)).unwrap()
    log.index = 1_000
    assert log.do(commands.CloseSlots(SERVICE, ALL)).changed == 0
    assert log.state.version == view.version
    log.announce(session)
    view.apply(log.state.delta_since(view.version)).unwrap()
    assert not view.suspects


@pytest.mark.parametrize(("ended", "released"), [(0, 0), (1, 0), (2, 8)])
def test_only_lost_journals_are_released(ended: int, released: int) -> None:
    """Guards against discarding journal records that can still be read."""
    log = Log()
    first, second, third, fourth = (log.open(f"h{n}") for n in (1, 2, 3, 4))
    log.do(commands.SetJournalPeers(first, 1, (second, third)))
    log.announce(first)
    log.assign(first)
    for session in (first, second)[:ended]:
        log.do(commands.CloseSession(session, "lost"))
    if not ended:
        log.do(LOST)
    log.announce(fourth, host="h4", name="u4")
    log.assign(fourth, "u4")
    table = log.state.tables[SERVICE]
    assert table.at(0).sources == (first,)
    reply = log.do(commands.ReleaseJournal(SERVICE, "op"))
    assert (reply.changed, reply.code) == (released, 0 if released else 4003)
    assert table.at(0).sources == (() if released else (first,))
    entry = log.state.audit_trail.entries[-1]
    assert (entry.actor, entry.action) == ("op", "ReleaseJournal")


def test_the_lease_term_of_a_lost_session_counts_as_unavailable() -> None:
    """Guards against unavailable time without the wait for lease expiry."""
    log = Log()
    session = log.open()
    log.announce(session)
    log.do(commands.UpstreamLost("x", 1))
    assert log.state.counters.unavailable_slot_s == 0
    log.assign(session)
    log.do(commands.CloseSession(session, "lease expired", since_renewal_ms=950))
    other = log.open("h2")
    assert log.state.counters.unavailable_slot_s == pytest.approx(8 * 1.95)
    log.announce(other, host="h2", name="u2")
    log.assign(other, "u2")
    before = log.state.counters.unavailable_slot_s
    log.do(
        commands.CloseSessions(
            (other, 999), "lease expired", since_renewal_ms=(500, 7_000)
        )
    )
    assert log.state.counters.unavailable_slot_s - before == pytest.approx(8 * 0.5)


def test_upstreams_that_left_are_forgotten() -> None:
    """Guards against unbounded growth of the upstream list with new names."""
    log = Log()
    first = log.open()
    log.announce(first, name="still-running")
    log.do(commands.DrainUpstream("still-running", "op"))
    log.do(commands.RemoveUpstream("still-running", "op"))
    for number in range(2 * MAX_GONE_UPSTREAMS):
        session = log.open("h2", number + 1)
        log.announce(session, host="h2", name=f"u{number}")
        log.do(commands.UpstreamLost(f"u{number}", 1))
        log.do(commands.RemoveUpstream(f"u{number}", "op"))
        log.do(commands.CloseSession(session, "stopped"))
    assert len(log.state.upstreams) <= MAX_GONE_UPSTREAMS + 1
    assert "u0" not in log.state.upstreams
    assert log.state.upstreams["still-running"].state == UpstreamState.GONE
    assert log.announce(first, name="still-running").code == 4002
