"""Group membership: bootstrap, joining, voter changes and replacement of voters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.messages import BootstrapQuery
from sassafraswharf.consensus.messages import BootstrapVoters
from sassafraswharf.consensus.messages import EmptyReplicaReply
from sassafraswharf.consensus.messages import JoinRequest
from sassafraswharf.consensus.snapshots import SnapshotTransfer
from sassafraswharf.consensus.voters import VoterChange
from sassafraswharf.consensus.voters import VoterChangeKind
from sassafraswharf.consensus.voters import Voters
from sassafraswharf.consensus.voters import encode_voters
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import ReplicaId


if TYPE_CHECKING:
    from sassafraswharf.consensus.actions import Action


# A learner may become a voter when it is at most this many entries behind.
MAX_CATCH_UP_LAG_ENTRIES = 64
# A voter that has not answered for this long may be replaced by a learner of
# another host.
SILENT_VOTER_S = 2.0


class Membership(SnapshotTransfer):
    """Bootstrap of the group and changes of its members.

    A group is bootstrapped once. The coordinator is the bootstrap host whose name
    sorts first. It asks every other bootstrap host whether its replica is empty
    and starts the group when all have confirmed it. A host that loses its disk
    later has a new identity and finds at least one member that does not confirm,
    so it can only join. If the coordinator loses its disk before any other host
    has received the bootstrap voters, both the old and the new set may reach some
    hosts. They differ only in the coordinator's identity, and every majority of
    the old set without the lost coordinator shares a voter with every majority of
    the new one.
    """

    join_due_at = 0.0

    # Bootstrap and joining.

    def find_group(self, now: float) -> None:
        """Send requests to join a group, and as coordinator bootstrap queries."""
        if now < self.join_due_at or not self.wants_to_join(now):
            return
        self.join_due_at = now + self.timing.election_min_s
        if not self.has_group and self.bootstrap_coordinator == host_name(
            self.identity
        ):
            self.bootstrap_if_all_empty(now)
        # None of the bootstrap hosts may be left in the group.
        members = {host_name(one) for one in self.log.voters.members}
        for name in sorted({*self.bootstrap_hosts, *members}):
            if name == host_name(self.identity):
                continue
            target = ReplicaId(name)
            if not self.has_group and self.bootstrap_coordinator == host_name(
                self.identity
            ):
                self.send(target, BootstrapQuery(self.bootstrap_hosts))
            self.send(target, JoinRequest(self.identity))

    @property
    def bootstrap_coordinator(self) -> str:
        """Return the name of the host that coordinates the bootstrap."""
        return (
            self.bootstrap_hosts[0]
            if self.bootstrap_hosts and self.policy.may_bootstrap
            else ""
        )

    def wants_to_join(self, now: float) -> bool:
        """Return whether this replica may be missing from the members.

        Without ``target_voters`` a removed voter stays away until it restarts. A
        learner asks again, because its addition may be lost with a leader, or undone
        by a delayed request of an older identity of its host. A voter that has not
        heard a leader for long may have been replaced without knowing it.
        """
        if not self.has_group:
            return True
        silent_s = now - self.leader_heard_at
        if self.policy.target_voters:
            limit_s = SILENT_VOTER_S if self.is_voter else self.timing.election_max_s
            return silent_s > limit_s
        if self.is_voter:
            return False
        return silent_s > self.timing.election_max_s and not self.was_removed()

    def was_removed(self) -> bool:
        """Return whether this replica was a voter and is no longer a member."""
        if self.identity in self.log.voters.members:
            return False
        return any(self.identity in one.voters for _, one in self.log.configurations)

    def on_bootstrap_query(
        self, sender: ReplicaId, message: BootstrapQuery, now: float
    ) -> None:
        """Confirm that this replica was empty after the coordinator started."""
        del now
        if self.has_group or message.host_names != self.bootstrap_hosts:
            return
        if not self.policy.may_bootstrap:
            return
        if host_name(sender) != self.bootstrap_coordinator:
            return
        self.send(sender, EmptyReplicaReply(sender))

    def on_empty_replica_reply(
        self, sender: ReplicaId, message: EmptyReplicaReply, now: float
    ) -> None:
        """Record that the sender is empty, if it answers this identity."""
        if message.coordinator != self.identity or self.has_group:
            return
        same = {
            one for one in self.empty_replicas if host_name(one) == host_name(sender)
        }
        self.empty_replicas = (self.empty_replicas - same) | {sender}
        self.bootstrap_if_all_empty(now)

    def bootstrap_if_all_empty(self, now: float) -> None:
        """Start the group when every bootstrap host has confirmed that it is empty."""
        voters = {*self.empty_replicas, self.identity}
        if {host_name(one) for one in voters} != set(self.bootstrap_hosts):
            return
        bootstrap_voters = Voters(tuple(sorted(voters)))
        self.start_new_group(bootstrap_voters, now)
        for target in sorted(self.empty_replicas):
            self.send(target, BootstrapVoters(bootstrap_voters))

    def on_bootstrap_voters(
        self, sender: ReplicaId, message: BootstrapVoters, now: float
    ) -> None:
        """Start as a voter of a new group that includes this replica."""
        del sender
        if not self.has_group and self.identity in message.voters.voters:
            self.start_new_group(message.voters, now)

    def start_new_group(self, bootstrap_voters: Voters, now: float) -> None:
        """Store the bootstrap voters and become a follower."""
        self.log.configurations = [(0, bootstrap_voters)]
        self.update_state(self.state._replace(bootstrap_voters=bootstrap_voters))
        self.change_role(Role.FOLLOWER)
        self.start_election_timer(now)

    def on_join(self, sender: ReplicaId, message: JoinRequest, now: float) -> None:
        """Add a replica as a learner, or forward its request to the leader.

        A bootstrap voter that missed the bootstrap gets the voters again.
        """
        if message.replica in self.state.bootstrap_voters.voters:
            self.send(message.replica, BootstrapVoters(self.state.bootstrap_voters))
        if self.role is Role.LEADER:
            if message.replica not in self.log.voters.members:
                change = VoterChange(VoterChangeKind.ADD_LEARNER, message.replica)
                self.change_members(change, now)
        elif self.leader and sender == message.replica:
            self.send(self.leader, message)

    # Voter changes.

    def propose_voters(
        self, change: VoterChange, now: float
    ) -> Result[tuple[int, list[Action]], Failure]:
        """Append one change of the members; return its index and the actions.

        The change is refused with 5001 on other replicas than the leader, and
        with 5006 if it isn't allowed now: another change is not yet committed,
        or a learner has not caught up.
        """
        if self.role is not Role.LEADER or self.transfer_to or self.halted:
            return Err(Failure(ResultCode.NOT_LEADER, f"leader is {self.leader}"))
        return self.change_members(change, now).map(
            lambda at: (at, self.take_actions())
        )

    def change_members(self, change: VoterChange, now: float) -> Result[int, Failure]:
        """Append a change if the previous one is committed."""
        # Two concurrent changes, or a change before the first commit of the current
        # term, can leave two majorities without a common voter.
        if self.log.voters_index > self.commit_index:
            return self.refuse_change("the previous change is not yet committed")
        if self.commit_index < self.term_start_index:
            return self.refuse_change("the leader has not committed in its term")
        change = self.log.voters.resolve(change)
        adds_voter = change.kind is VoterChangeKind.ADD_VOTER
        if adds_voter and not self.has_caught_up(change.replica, now):
            return self.refuse_change(f"{change.replica} has not caught up")
        changed = self.log.voters.apply(change)
        if isinstance(changed, Err):
            return changed
        data = encode_voters(changed.ok_value)
        index = self.append_as_leader([(EntryKind.VOTERS, data)])[0]
        self.broadcast(now, heartbeat=False)
        return Ok(index)

    def refuse_change(self, reason: str) -> Err[Failure]:
        """Return the failure 5006 with a reason."""
        return Err(Failure(ResultCode.VOTER_CHANGE_REFUSED, reason))

    def has_caught_up(self, replica: ReplicaId, now: float) -> bool:
        """Return whether a learner answers and has almost all entries."""
        progress = self.progress.get(replica)
        if not progress or progress.match_index < self.term_start_index:
            return False
        # An unreachable voter would only raise the quorum.
        if now - progress.contact_at > self.timing.election_min_s:
            return False
        return self.log.last_index - progress.match_index <= MAX_CATCH_UP_LAG_ENTRIES

    def replace_lost_voters(self, now: float) -> None:
        """Replace a lost voter by the caught-up learner with the same host name.

        The lost identity is removed first. Adding first would make a second loss
        of the same host's disk cost the quorum of a group of three.
        """
        voters = self.log.voters
        trusted = now - self.timing.election_max_s
        for learner in voters.learners:
            if not self.has_caught_up(learner, now):
                continue
            name = host_name(learner)
            lost = [one for one in voters.voters if host_name(one) == name]
            if name in voters.vacancies and not lost:
                change = VoterChange(VoterChangeKind.ADD_VOTER, learner)
                self.change_members(change, now)
                return
            if lost and self.contact_at(lost[0], now) < trusted:
                self.change_members(VoterChange(VoterChangeKind.VACATE, lost[0]), now)
                return

    def promote_learners(self, now: float) -> None:
        """Promote learners of other hosts up to the policy's ``target_voters``.

        Such a learner also replaces a voter that does not answer. The new voter
        is added first, so that no step leaves fewer copies than before.
        """
        target = self.policy.target_voters
        if not target:
            return
        voters = self.log.voters
        silent = [
            one
            for one in voters.voters
            if one != self.identity
            and self.contact_at(one, now) < now - SILENT_VOTER_S
            and now - self.elected_at > SILENT_VOTER_S
        ]
        places = len(voters.voters) + len(voters.vacancies)
        if places > target:
            if silent:
                change = VoterChange(VoterChangeKind.REMOVE, silent[0])
                self.change_members(change, now)
            return
        if places == target and not silent:
            return
        taken = {host_name(one) for one in voters.voters} | set(voters.vacancies)
        for learner in voters.learners:
            if host_name(learner) in taken or not self.has_caught_up(learner, now):
                continue
            change = VoterChange(VoterChangeKind.ADD_VOTER, learner)
            self.change_members(change, now)
            return

    def after_commit(self, now: float) -> None:
        """Step down after its own removal, else continue membership changes."""
        if not self.is_voter and self.log.voters_index <= self.commit_index:
            self.broadcast(now, heartbeat=True)
            self.become_follower(self.term, None, now)
            return
        self.replace_lost_voters(now)
        self.promote_learners(now)
