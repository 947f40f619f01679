"""Simulates a group with voter changes, disturbances and a final fault."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.entry import EntryKind
from tests.consensus import simulation as sim


if TYPE_CHECKING:
    from sassafraswharf.consensus.entry import Entry


TOLERATED_DISK_LOSSES = 2
VOTERS = 2 * TOLERATED_DISK_LOSSES + 1
BOOTSTRAP_HOSTS = 3
SETTLE_S = 4.0
MAX_BOOTSTRAP_S = 20.0
# Longer than a voter may be silent before a learner of another host replaces it.
ABSENCE_S = 3.0


class FinalFault(Enum):
    """The final fault: how many disks are lost, and whether the others stop."""

    ALL_STOP = (0, True)
    WIPE = (TOLERATED_DISK_LOSSES, False)
    WIPE_ALL_STOP = (TOLERATED_DISK_LOSSES, True)


class ChangingCluster(sim.Cluster):
    """A group as control hosts run it.

    Three hosts bootstrap it, all others join and five become voters. A change is
    acknowledged under the rule of ``ControlNode.change_plan``: a quorum is more
    copies than disks may be lost, when it is proposed and when it is applied.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.sent: dict[tuple[str, int], int] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.stalled: set[str] = set()
        self.full: set[str] = set()
        super().__init__(
            count, seed, bootstrap_hosts=BOOTSTRAP_HOSTS, target_voters=VOTERS
        )

    def can_acknowledge(self, host: sim.Host) -> bool:
        return bool(host.replica and host.replica.voters.quorum > TOLERATED_DISK_LOSSES)

    def change(self, command: bytes) -> None:
        """Send a change to every host, like an operator who retries a lost call."""
        for host in self.hosts.values():
            if self.can_acknowledge(host) and self.propose(host.name, command):
                assert host.replica
                log = host.replica.log
                self.sent[host.name, log.last_index] = host.replica.term

    def apply(self, host: sim.Host, entry: Entry) -> None:
        super().apply(host, entry)
        term = self.sent.pop((host.name, entry.log_index), None)
        leads = host.replica and host.replica.role is Role.LEADER
        if leads and term == entry.term and self.can_acknowledge(host):
            self.acknowledged[entry.log_index] = entry.data

    def stop(self, name: str) -> None:
        """Stop a host as planned: transfer leadership, then end."""
        self.transfer(name)
        self.run(0.3)
        self.crash(name)

    def lose_two_disks(self, name: str) -> None:
        other = self.rng.choice([one for one in self.names if one != name])
        self.lose_disk(name)
        self.lose_disk(other)

    def kill(self, name: str) -> None:
        """End a process that is started again at once."""
        self.crash(name)
        self.start(name)

    def stay_away(self, name: str) -> None:
        self.crash(name)
        self.run(ABSENCE_S)

    def stall_disk(self, name: str) -> None:
        self.stalled.add(name)

    def fill_disk(self, name: str) -> None:
        self.full.add(name)

    def sync(self, name: str) -> None:
        """Sync, unless the disk hangs; a full disk halts the replica."""
        if name in self.full and self.hosts[name].disk.pending:
            self.crash(name)
        elif name not in self.stalled:
            super().sync(name)

    def recover(self, _name: str = "") -> None:
        self.stalled.clear()
        self.full.clear()
        super().recover()

    def settle(self) -> None:
        """Recover all hosts and give them time to catch up."""
        self.recover()
        self.run(SETTLE_S)

    def wait_for_voters(self) -> None:
        until = self.now + MAX_BOOTSTRAP_S
        while len(self.committed_voters().voters) < VOTERS:
            if self.now > until:
                raise sim.ViolationError(f"{self.committed_voters()} after bootstrap")
            self.run(0.1)

    def end(self, fault: FinalFault) -> None:
        """Lose disks and crash the other hosts at once, as far as the fault says so."""
        wipes, others_stop = fault.value
        names = self.rng.sample(self.names, len(self.names))
        loses_all_unsynced = self.rng.random() < 0.5
        for name in names:
            if others_stop and loses_all_unsynced:
                self.hosts[name].disk.pending.clear()
            if wipes and self.lose_disk(name):
                wipes -= 1
            elif others_stop:
                self.crash(name)

    def check_acknowledged(self) -> None:
        """Check that all hosts have the acknowledged commands, each at its index."""
        self.check_recovery()
        for index, command in self.acknowledged.items():
            entry = self.committed[index]
            if entry.kind is not EntryKind.COMMAND or entry.data != command:
                raise sim.ViolationError(f"{command!r} was acknowledged, not {entry}")
        for host in self.hosts.values():
            missing = set(self.acknowledged.values()) - set(host.commands)
            if missing:
                raise sim.ViolationError(f"{host.name} lacks {sorted(missing)}")


DISTURBANCES = (
    ChangingCluster.crash,
    ChangingCluster.lose_disk,
    ChangingCluster.lose_two_disks,
    ChangingCluster.isolate,
    ChangingCluster.pause,
    ChangingCluster.stop,
    ChangingCluster.kill,
    ChangingCluster.stay_away,
    ChangingCluster.stall_disk,
    ChangingCluster.fill_disk,
)
