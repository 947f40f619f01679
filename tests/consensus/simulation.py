"""Simulated hosts, network, clocks and disks, with checks of the Raft invariants."""

from __future__ import annotations

import random

from typing import NamedTuple

import msgspec

from sassafraswharf.consensus import actions
from sassafraswharf.consensus.core import MembershipPolicy
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.messages import VoteReply
from sassafraswharf.consensus.replica import Replica
from sassafraswharf.consensus.timing import ReplicaTiming
from sassafraswharf.consensus.voters import Voters
from sassafraswharf.consensus.voters import decode_voters
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.identifiers import ReplicaId


STEP_S = 0.01
SNAPSHOT_ENTRIES = 20
# The relative difference stays within the 5% of section 7 of the design page.
CLOCK_RATES = (1.0, 1.024, 0.976)


class ViolationError(AssertionError):
    """An invariant is violated."""


class Faults(NamedTuple):
    """Probabilities per message and step, and of a sync finishing in a step."""

    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    sync: float = 1.0


NO_FAULTS = Faults()
FAULTS = (
    NO_FAULTS,
    Faults(sync=0.1),
    Faults(drop=0.2, duplicate=0.2, delay=0.4, sync=0.3),
    Faults(duplicate=0.4, delay=0.8, sync=0.6),
)
DURATIONS_S = (0.05, 0.2, 0.7, 1.2)


class Disk:
    """Synced content, and unsynced actions that a crash may lose."""

    def __init__(self, state: actions.HardState) -> None:
        self.state = state
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.pending: list[actions.Action] = []

    def sync(self, count: int) -> None:
        for action in self.pending[:count]:
            match action:
                case actions.PersistState(state):
                    self.state = state
                case actions.TruncateFrom(index):
                    self.entries = [e for e in self.entries if e.log_index < index]
                case actions.PersistEntries(entries):
                    self.entries.extend(entries)
                case actions.InstallSnapshot(snapshot, retained):
                    self.snapshot = snapshot
                    self.entries = list(retained)
        del self.pending[:count]


class Host:
    def __init__(self, name: str, disk: Disk, rate: float) -> None:
        self.name = name
        self.disk = disk
        self.rate = rate
        self.replica: Replica | None = None
        self.commands: list[bytes] = []
        self.held: list[actions.SendMessage] = []
        self.paused = False


class Cluster:
    """A simulated group that checks the invariants in every step."""

    def __init__(
        self,
        count: int,
        seed: int,
        *,
        bootstrap_hosts: int = 0,
        target_voters: int = 0,
        bootstrapped: bool = False,
        sends_early: bool = False,
        keeps_identity: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.names = "abcdefgh"[:count]
        self.bootstrap_hosts = self.names[: bootstrap_hosts or count]
        self.target_voters = target_voters
        self.sends_early = sends_early
        self.keeps_identity = keeps_identity
        self.network: list[tuple[str, actions.SendMessage, ReplicaId]] = []
        self.cut: set[frozenset[str]] = set()
        self.lost: set[ReplicaId] = set()
        self.losses: dict[str, int] = {}
        self.leaders: dict[int, ReplicaId] = {}
        self.committed: dict[int, Entry] = {}
        self.hosts = {
            name: Host(name, Disk(actions.HardState(ReplicaId(f"{name}:0"))), rate)
            for name, rate in zip(self.names, CLOCK_RATES * 3, strict=False)
        }
        self.bootstrap_voters = Voters(
            tuple(ReplicaId(f"{one}:0") for one in self.bootstrap_hosts)
        )
        for host in self.hosts.values():
            if bootstrapped:
                host.disk.state = host.disk.state._replace(
                    bootstrap_voters=self.bootstrap_voters
                )
            self.start(host.name)

    # Faults.

    def start(self, name: str) -> None:
        host = self.hosts[name]
        disk = host.disk
        host.commands = []
        if disk.snapshot:
            host.commands = msgspec.msgpack.decode(disk.snapshot.data)
        timing, rng = ReplicaTiming(), random.Random(self.rng.random())
        stored = (disk.state, self.bootstrap_hosts, disk.snapshot, tuple(disk.entries))
        # Without a target, as in tests of the group alone, each host may bootstrap.
        may_bootstrap = not self.target_voters or name not in self.losses
        policy = MembershipPolicy(may_bootstrap, self.target_voters)
        host.replica = Replica(*stored, timing, rng, self.clock(host), policy)

    def crash(self, name: str) -> None:
        host = self.hosts[name]
        if host.replica:
            host.disk.sync(self.rng.randint(0, len(host.disk.pending)))
        host.disk.pending.clear()
        host.held.clear()
        host.replica = None
        host.paused = False

    def lose_disk(self, name: str) -> bool:
        """Lose process and disk if the group must tolerate this loss."""
        host = self.hosts[name]
        identity = host.disk.state.identity
        for voters in self.voters_in_force():
            after = {*self.lost, identity} & set(voters)
            if identity in voters and len(after) > (len(voters) - 1) // 2:
                return False
        self.crash(name)
        self.lost.add(identity)
        self.losses[name] = self.losses.get(name, 0) + 1
        fresh = actions.HardState(ReplicaId(f"{name}:{self.losses[name]}"))
        if self.keeps_identity:
            fresh = actions.HardState(identity, bootstrap_voters=self.bootstrap_voters)
        host.disk = Disk(fresh)
        return True

    def committed_voters(self) -> Voters:
        return self.newest_committed()[1]

    def newest_committed(self) -> tuple[int, Voters]:
        changes = [e for e in self.committed.values() if e.kind is EntryKind.VOTERS]
        newest = max(changes, key=lambda one: one.log_index, default=None)
        found = (newest.log_index, decode_voters(newest.data)) if newest else None
        return found or (0, self.bootstrap_voters)

    def voters_in_force(self) -> list[tuple[ReplicaId, ...]]:
        """Return the committed voters and those of uncommitted changes.

        A change counts as soon as it is appended, so a loss must be a minority of
        both.
        """
        committed, voters = self.newest_committed()
        under_way = [
            changed.voters
            for host in self.hosts.values()
            if host.replica
            for index, changed in host.replica.log.configurations
            if index > committed
        ]
        return [voters.voters, *under_way]

    def isolate(self, name: str) -> None:
        self.cut |= {frozenset((name, other)) for other in self.names if other != name}

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def transfer(self, name: str) -> None:
        host = self.hosts[name]
        if host.replica and not host.paused:
            self.execute(host, host.replica.transfer(self.clock(host)))

    def recover(self, _name: str = "") -> None:
        self.cut.clear()
        for host in self.hosts.values():
            host.paused = False
            if not host.replica:
                self.start(host.name)

    # Progress.

    def clock(self, host: Host) -> float:
        return self.now * host.rate

    def run(self, seconds: float, faults: Faults = NO_FAULTS) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for host in self.hosts.values():
                if host.replica and not host.paused:
                    self.execute(host, host.replica.tick(self.clock(host)))
            self.deliver(faults)
            for host in self.hosts.values():
                if not host.paused and self.rng.random() < faults.sync:
                    self.sync(host.name)
            self.check_current()

    def deliver(self, faults: Faults) -> None:
        """Deliver, drop, duplicate or delay each message, in random order."""
        messages, self.network = self.network, []
        if faults.delay:
            self.rng.shuffle(messages)
        for message in messages:
            origin, action, source = message
            host = self.hosts[host_name(action.target)]
            if host.paused or self.rng.random() < faults.delay:
                self.network.append(message)
                continue
            if self.rng.random() < faults.duplicate:
                self.network.append(message)
            reachable = frozenset((origin, host.name)) not in self.cut
            if not reachable or not host.replica or self.rng.random() < faults.drop:
                continue
            if action.target in {host.replica.identity, host.name}:
                now = self.clock(host)
                self.execute(host, host.replica.receive(source, action.body, now))

    def sync(self, name: str) -> None:
        host = self.hosts[name]
        if not host.replica or not host.disk.pending:
            return
        log = host.replica.log
        last = (log.last_index, log.last_term)
        saved = [
            one for one in host.disk.pending if isinstance(one, actions.InstallSnapshot)
        ]
        host.disk.sync(len(host.disk.pending))
        for one in saved:
            host.replica.compact(one.snapshot)
        held, host.held = host.held, []
        for message in held:
            self.send(host, message)
        self.execute(host, host.replica.persisted(*last, self.clock(host)))
        self.save_snapshot(host, host.replica)

    def save_snapshot(self, host: Host, replica: Replica) -> None:
        log, index = replica.log, replica.commit_index
        term = log.term_at(index)
        if index - log.snapshot.log_index < SNAPSHOT_ENTRIES or term is None:
            return
        data = msgspec.msgpack.encode(host.commands)
        snapshot = Snapshot(index, term, log.voters_at(index), data)
        retained = log.between(index + 1, log.last_index)
        host.disk.pending.append(actions.InstallSnapshot(snapshot, retained))

    def propose_everywhere(self, number: int) -> None:
        for name in self.names:
            self.propose(name, f"{name}{number}".encode())

    def propose(self, name: str, command: bytes) -> bool:
        host = self.hosts[name]
        if not host.replica or host.paused:
            return False
        proposed = host.replica.propose([command], self.clock(host))
        if proposed.is_ok():
            self.execute(host, proposed.ok_value[1])
        return proposed.is_ok()

    def execute(self, host: Host, todo: list[actions.Action]) -> None:
        for action in todo:
            match action:
                case actions.SendMessage():
                    if not self.sends_early and any(
                        isinstance(one, actions.PersistState)
                        for one in host.disk.pending
                    ):
                        host.held.append(action)
                    else:
                        self.send(host, action)
                case actions.ApplyEntries(entries):
                    for entry in entries:
                        self.apply(host, entry)
                case actions.RoleChanged(role, term):
                    if role is actions.Role.LEADER:
                        self.check_leader(host, term)
                case _:
                    if isinstance(action, actions.InstallSnapshot):
                        host.commands = msgspec.msgpack.decode(action.snapshot.data)
                        self.check_commands(host, action.snapshot.log_index)
                    host.disk.pending.append(action)

    def send(self, host: Host, action: actions.SendMessage) -> None:
        identity = host.disk.state.identity
        granted = isinstance(action.body, VoteReply) and action.body.granted
        if granted and identity in self.lost:
            raise ViolationError(f"{identity} votes after its disk was lost")
        self.network.append((host.name, action, identity))

    # Invariants.

    def apply(self, host: Host, entry: Entry) -> None:
        known = self.committed.setdefault(entry.log_index, entry)
        if known != entry:
            raise ViolationError(f"{host.name} applies {entry} instead of {known}")
        if entry.kind is EntryKind.COMMAND:
            host.commands.append(entry.data)
        self.check_commands(host, entry.log_index)

    def check_commands(self, host: Host, index: int) -> None:
        expected = [
            entry.data
            for at, entry in sorted(self.committed.items())
            if at <= index and entry.kind is EntryKind.COMMAND
        ]
        if host.commands != expected:
            raise ViolationError(f"state of {host.name} at {index} differs")

    def check_leader(self, host: Host, term: int) -> None:
        """Check that a term has one leader, which has all committed entries."""
        assert host.replica
        identity = host.replica.identity
        if self.leaders.setdefault(term, identity) != identity:
            raise ViolationError(
                f"{identity} and {self.leaders[term]} lead term {term}"
            )
        log = host.replica.log
        for index, entry in self.committed.items():
            if index > log.base_index and log.term_at(index) != entry.term:
                raise ViolationError(f"leader {identity} lacks committed entry {index}")

    def current(self) -> list[str]:
        return [
            host.name
            for host in self.hosts.values()
            if host.replica and host.replica.is_current_leader(self.clock(host))
        ]

    def check_current(self) -> None:
        current = self.current()
        if len(current) > 1:
            raise ViolationError(f"{current} are current leaders at the same time")
        for name in current:
            replica = self.hosts[name].replica
            if replica and replica.term < max(self.leaders):
                raise ViolationError(
                    f"{name} is current although a newer leader exists"
                )

    def check_recovery(self) -> None:
        """Check that the group commits again after all faults and all hosts agree."""
        self.recover()
        self.run(6.0)
        current = self.current()
        if not current or not self.propose(current[0], b"last"):
            raise ViolationError("no leader after all faults ended")
        self.run(1.0)
        for host in self.hosts.values():
            if host.commands[-1:] != [b"last"]:
                raise ViolationError(f"{host.name} did not catch up")


FAULT_METHODS = (
    Cluster.crash,
    Cluster.lose_disk,
    Cluster.isolate,
    Cluster.pause,
    Cluster.transfer,
    Cluster.recover,
)
