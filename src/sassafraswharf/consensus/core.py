"""Raft state shared by election, replication, snapshots and membership."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.consensus.actions import Action
from sassafraswharf.consensus.actions import ApplyEntries
from sassafraswharf.consensus.actions import HardState
from sassafraswharf.consensus.actions import PersistState
from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.actions import RoleChanged
from sassafraswharf.consensus.actions import SendMessage
from sassafraswharf.consensus.log import ReplicaLog


if TYPE_CHECKING:
    import random

    from collections.abc import Sequence

    from sassafraswharf.consensus.entry import Entry
    from sassafraswharf.consensus.entry import Snapshot
    from sassafraswharf.consensus.messages import Body
    from sassafraswharf.consensus.progress import Progress
    from sassafraswharf.consensus.timing import ReplicaTiming
    from sassafraswharf.consensus.voters import Voters
    from sassafraswharf.identifiers import ReplicaId


class MembershipPolicy(NamedTuple):
    """Whether a replica may bootstrap a group, and how many voters the group gets.

    Without ``may_bootstrap`` the replica only joins a group: its host may have
    lost its disk while the group exists. Learners that have caught up are promoted
    until there are ``target_voters`` voters; with 0 only operators add voters.
    """

    may_bootstrap: bool = True
    target_voters: int = 0


DEFAULT_POLICY = MembershipPolicy()


class ReplicaCore:
    """Log, Raft state and the actions collected during one call."""

    def __init__(
        self,
        state: HardState,
        bootstrap_hosts: Sequence[str],
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
        timing: ReplicaTiming,
        rng: random.Random,
        now: float,
        policy: MembershipPolicy = DEFAULT_POLICY,
    ) -> None:
        self.state = state
        self.policy = policy
        self.bootstrap_hosts = tuple(sorted(bootstrap_hosts))
        self.timing = timing
        self.rng = rng
        self.log = ReplicaLog(snapshot, entries, state.bootstrap_voters)
        self.persisted_index = self.log.last_index
        self.commit_index = self.log.snapshot.log_index
        self.leader: ReplicaId | None = None
        # Before its restart the voter may have answered a leader, which relies on it
        # not to vote for another candidate until the election timeout.
        self.leader_heard_at = now
        self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER
        self.election_due_at = now
        self.heartbeat_due_at = now
        self.progress: dict[ReplicaId, Progress] = {}
        self.empty_replicas: set[ReplicaId] = set()
        self.halted = False
        self.actions: list[Action] = []
        self.start_election_timer(now)

    @property
    def identity(self) -> ReplicaId:
        """Return ``<name>:<random>``."""
        return self.state.identity

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.state.term

    @property
    def voters(self) -> Voters:
        """Return the current members; they count as soon as they are in the log."""
        return self.log.voters

    @property
    def is_voter(self) -> bool:
        """Return whether this identity is one of the voters."""
        return self.identity in self.log.voters.voters

    @property
    def has_group(self) -> bool:
        """Return whether this replica has the voters of a group."""
        return bool(self.log.last_index or self.log.voters.voters)

    def take_actions(self) -> list[Action]:
        """Return the collected actions and clear them."""
        taken = self.actions
        self.actions = []
        return taken

    def send(self, target: ReplicaId, body: Body) -> None:
        """Collect a message."""
        self.actions.append(SendMessage(target, body))

    def update_state(self, state: HardState) -> None:
        """Change the durable state."""
        if state != self.state:
            self.state = state
            self.actions.append(PersistState(state))

    def start_election_timer(self, now: float) -> None:
        """Choose the next election time; a sole voter need not wait."""
        low, high = self.timing.election_min_s, self.timing.election_max_s
        sole = self.log.voters.voters == (self.identity,)
        self.election_due_at = now if sole else now + self.rng.uniform(low, high)

    def change_role(self, role: Role) -> None:
        """Change the role and report it."""
        if role is not self.role or role is Role.LEADER:
            self.role = role
            self.actions.append(RoleChanged(role, self.term))

    def become_follower(self, term: int, leader: ReplicaId | None, now: float) -> None:
        """Follow ``leader`` in ``term``, which is not lower than the current one."""
        if term > self.term:
            self.update_state(self.state._replace(term=term, voted_for=None))
            self.reset_verified()
        self.leader = leader
        self.progress = {}
        self.change_role(Role.FOLLOWER if self.is_voter else Role.LEARNER)
        self.start_election_timer(now)

    def reset_verified(self) -> None:
        """Reset the log prefix that is known to match the leader's."""

    def commit_to(self, index: int) -> None:
        """Advance the commit index and apply the newly committed entries."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        self.commit_index = index
        self.actions.append(ApplyEntries(entries))
