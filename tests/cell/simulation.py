"""Simulates a cell in virtual time: skewed clocks, a lossy network, a leader.

The invariant is that at most one host serves a slot. A host serves a slot if it
would accept new requests for it or still has requests in flight for it.
"""

from __future__ import annotations

import heapq
import random

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf.cell import commands
from sassafraswharf.cell.codec import decode_reply
from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.controller import CellController
from sassafraswharf.cell.state import CellState
from sassafraswharf.cell.view import CellView
from sassafraswharf.codes import ResultCode
from sassafraswharf.leases.grantor import LeaseGrantor
from sassafraswharf.leases.holder import LeaseHolder
from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseTiming
from sassafraswharf.membership.values import SessionState
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.slot_table import ranges_of
from sassafraswharf.placement.load_view import LoadView


if TYPE_CHECKING:
    from collections.abc import Callable


SERVICE = "diary"
SLOTS = 12
REQUEST_S = 0.3


class Host:
    """A router with one upstream."""

    def __init__(self, sim: Simulation, name: str, zone: str, rate: float) -> None:
        self.sim = sim
        self.name = name
        self.zone = zone
        self.rate = rate
        self.upstream = f"u-{name}"
        self.upstream_incarnation = 1
        self.running = {self.upstream: 1}
        self.incarnation = 0
        self.paused = False
        self.partitioned = False
        self.deferred_replies: list[Callable[[], None]] = []
        self.work_ends_at: dict[int, float] = {}
        self.restart_router()

    def restart_router(self) -> None:
        self.incarnation += 1
        self.holder = LeaseHolder(self.name, self.sim.timing)
        self.view = CellView()
        self.last_attempt_at: dict[str, float] = {}

    def now(self) -> float:
        return 1000.0 + self.sim.time * self.rate

    def kill_upstream(self) -> None:
        self.running = {}
        self.work_ends_at = {}

    def start_upstream(self) -> None:
        if not self.running:
            self.upstream_incarnation += 1
            self.running = {self.upstream: self.upstream_incarnation}

    def accepts(self, slot: int) -> bool:
        session = self.holder.session
        return self.holder.is_valid(self.now()) and self.view.may_serve(
            SERVICE, slot, session, self.running
        )

    def serves(self, slot: int) -> bool:
        return self.accepts(slot) or self.work_ends_at.get(slot, 0.0) > self.now()

    def step(self) -> None:
        if self.holder.session == 0:
            if self.is_due("open", 0.2):
                self.open()
            return
        renewal = self.holder.next_renewal(self.now())
        if renewal is not None:
            self.sim.send(self, lambda: self.sim.on_renewal(self, renewal))
        if self.is_due("pull", self.sim.pull_s):
            version = self.view.version
            self.sim.send(self, lambda: self.sim.on_pull(self, version))
        if self.is_due("report", 0.1):
            self.report_upstream()
            self.release_slots()
        if self.sim.rng.random() < 0.2:
            slot = self.sim.rng.randrange(SLOTS)
            if self.accepts(slot):
                end = min(self.now() + REQUEST_S, self.holder.expires_at)
                self.work_ends_at[slot] = max(self.work_ends_at.get(slot, 0.0), end)

    def is_due(self, action: str, every_s: float) -> bool:
        if self.now() < self.last_attempt_at.get(action, 0.0) + every_s:
            return False
        self.last_attempt_at[action] = self.now()
        return True

    def open(self) -> None:
        sent_at = self.now()
        holder = self.holder

        def opened(reply: Any) -> None:
            if reply.code == ResultCode.OK and holder.session < reply.session:
                holder.open(reply.session, sent_at)

        where = ("", "", "", "")
        command = commands.OpenSession(self.name, self.incarnation, self.zone, *where)
        self.sim.propose(self, command, opened)

    def report_upstream(self) -> None:
        known = self.view.upstreams.get(self.upstream)
        incarnation = self.upstream_incarnation
        if not self.running:
            if known is not None and known.state != UpstreamState.LOST:
                self.sim.propose(
                    self, commands.UpstreamLost(self.upstream, incarnation)
                )
            return
        current = (self.holder.session, incarnation)
        if known is None or (known.session, known.incarnation) != current:
            command = commands.AnnounceUpstream(
                self.upstream,
                self.name,
                self.holder.session,
                SERVICE,
                "",
                10,
                10,
                True,
                incarnation,
                1.0,
            )
            self.sim.propose(self, command)

    def release_slots(self) -> None:
        table = self.view.tables.get(SERVICE)
        if table is None:
            return
        mine = [
            table.at(slot)
            for slot in range(SLOTS)
            if table.at(slot).session == self.holder.session
        ]
        done = [
            own.slot
            for own in mine
            if own.closing and self.work_ends_at.get(own.slot, 0.0) <= self.now()
        ]
        if done:
            self.sim.propose(
                self,
                commands.SlotsReleased(
                    SERVICE, ranges_of(done), self.view.version, self.holder.session
                ),
            )


class Simulation:
    """The leader, its log and the network; ``rates`` are the hosts' clock rates."""

    def __init__(
        self,
        rates: tuple[float, ...] = (1.0, 1.0, 1.0),
        timing: LeaseTiming | None = None,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.timing = timing or LeaseTiming()
        self.time = 0.0
        self.leader_rate = 1.0
        self.leader_waits_for_old_leases = True
        self.apply_before_grants = True
        self.state = CellState()
        self.index = 0
        self.term = 0
        self.step_s = 0.01
        self.commit_s = 0.02
        self.latency_s = 0.003
        self.pull_s = 0.1
        self.loss = 0.0
        self.delay_s = 0.0
        self.network: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.log: list[tuple[float, Any, Callable[[Any], None] | None]] = []
        self.rewrite_command: Callable[[Any], Any] = lambda command: command
        self.epochs = [0] * SLOTS
        self.hosts = [
            Host(self, f"h{n}", f"z{n % 3}", rate) for n, rate in enumerate(rates)
        ]
        self.change_leader()
        spec = commands.ServiceSpec(SERVICE, SLOTS, admit_any=True)
        self.append(commands.SetServices(1, (spec,)))

    def leader_now(self) -> float:
        return 5000.0 + self.time * self.leader_rate

    def change_leader(self, keep_log: bool = True) -> None:
        if not keep_log:
            self.log.clear()
        if self.apply_before_grants:
            self.commit(all_entries=True)
        self.term += 1
        since = (
            self.leader_now()
            if self.leader_waits_for_old_leases
            else self.leader_now() - 60
        )
        known = self.state.sessions.values()
        self.grantor = LeaseGrantor(
            self.timing,
            since,
            [s.session for s in known if s.state == SessionState.OPEN],
            [s.session for s in known if s.state == SessionState.SUPERSEDED],
            self.term,
        )
        self.controller = CellController()

    def send(self, host: Host, deliver: Callable[[], None]) -> None:
        if host.partitioned or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            self.sequence += 1
            at = self.time + self.latency_s + self.rng.random() * self.delay_s
            heapq.heappush(self.network, (at, self.sequence, deliver))

    def reply(self, host: Host, deliver: Callable[[], None]) -> None:
        self.send(
            host,
            lambda: host.deferred_replies.append(deliver) if host.paused else deliver(),
        )

    def propose(
        self, host: Host, command: Any, done: Callable[[Any], None] | None = None
    ) -> None:
        def answer(reply: Any) -> None:
            if done is not None:
                self.reply(host, lambda: done(reply))

        self.send(host, lambda: self.append(command, answer))

    def append(self, command: Any, done: Callable[[Any], None] | None = None) -> None:
        self.log.append(
            (self.time + self.commit_s, self.rewrite_command(command), done)
        )

    def on_renewal(self, host: Host, renewal: Any) -> None:
        self.grantor.table_version = self.state.version
        answer = self.grantor.on_renewal(renewal, self.leader_now())
        holder = host.holder
        if isinstance(answer, LeaseAck):
            self.reply(host, lambda: holder.on_ack(answer, host.now()))
        else:
            self.reply(host, lambda: holder.on_refusal(answer, host.now()))

    def on_pull(self, host: Host, version: int) -> None:
        delta = self.state.delta_since(version)
        view = host.view
        self.reply(host, lambda: view.apply(delta) and None)

    def commit(self, all_entries: bool = False) -> None:
        while self.log and (all_entries or self.log[0][0] <= self.time):
            _, command, done = self.log.pop(0)
            self.index += 1
            command = command._replace(at=self.time + 1.0)
            reply = self.state.apply(self.index, encode_command(command))
            if done is not None:
                done(decode_reply(reply).unwrap())
            if self.term:
                self.follow_sessions()

    def follow_sessions(self) -> None:
        for session in list(self.grantor.leases):
            known = self.state.sessions.get(session)
            if known is None or known.state == SessionState.CLOSED:
                self.grantor.on_session_closed(session)
            elif known.state == SessionState.SUPERSEDED:
                self.grantor.on_session_superseded(session)
        opened = self.state.sessions.get(self.index)
        if opened is not None and opened.state == SessionState.OPEN:
            self.grantor.on_session_opened(self.index, self.leader_now())

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / self.step_s)):
            self.step()

    def step(self) -> None:
        self.time += self.step_s
        while self.network and self.network[0][0] <= self.time:
            heapq.heappop(self.network)[2]()
        self.commit()
        if not self.log:
            expired = self.grantor.end_expired(self.leader_now())
            now = self.leader_now()
            for command in self.controller.tick(self.state, expired, LoadView(), now):
                self.append(command)
        for host in self.hosts:
            if not host.paused:
                host.step()
        self.check()

    def resume(self, host: Host) -> None:
        host.paused = False
        for deliver in host.deferred_replies:
            deliver()
        host.deferred_replies.clear()
        self.check()

    def serving(self, slot: int) -> list[str]:
        return [host.name for host in self.hosts if host.serves(slot)]

    def check(self) -> None:
        table = self.state.tables.get(SERVICE)
        for slot in range(SLOTS):
            serving = self.serving(slot)
            assert len(serving) <= 1, f"slot {slot} is served by {serving}"
            if table is not None:
                assert table.epoch(slot) >= self.epochs[slot], "an epoch went back"
                self.epochs[slot] = table.epoch(slot)

    def served(self) -> int:
        return sum(bool(self.serving(slot)) for slot in range(SLOTS))
