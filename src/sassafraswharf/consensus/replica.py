"""A Raft replica without I/O: events come in, actions are returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.actions import Action
from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.actions import SendMessage
from sassafraswharf.consensus.election import Election
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.messages import AppendReply
from sassafraswharf.consensus.messages import AppendRequest
from sassafraswharf.consensus.messages import BootstrapQuery
from sassafraswharf.consensus.messages import BootstrapVoters
from sassafraswharf.consensus.messages import EmptyReplicaReply
from sassafraswharf.consensus.messages import JoinRequest
from sassafraswharf.consensus.messages import SnapshotChunk
from sassafraswharf.consensus.messages import SnapshotReply
from sassafraswharf.consensus.messages import TransferNow
from sassafraswharf.consensus.messages import VoteReply
from sassafraswharf.consensus.messages import VoteRequest
from sassafraswharf.consensus.progress import MAX_COMMAND_BYTES
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.consensus.messages import Body
    from sassafraswharf.identifiers import ReplicaId


HANDLERS = {
    VoteRequest: Election.on_vote_request.__name__,
    VoteReply: Election.on_vote_reply.__name__,
    AppendRequest: Election.on_append.__name__,
    AppendReply: Election.on_append_reply.__name__,
    SnapshotChunk: Election.on_snapshot_chunk.__name__,
    SnapshotReply: Election.on_snapshot_reply.__name__,
    TransferNow: Election.on_transfer.__name__,
    JoinRequest: Election.on_join.__name__,
    BootstrapQuery: Election.on_bootstrap_query.__name__,
    EmptyReplicaReply: Election.on_empty_replica_reply.__name__,
    BootstrapVoters: Election.on_bootstrap_voters.__name__,
}


class Replica(Election):
    """The public interface of a replica.

    The caller executes the returned actions in order: a message after
    ``PersistState`` is sent only when that state is synced, and ``persisted`` is
    called only when entries are synced. Times are seconds of one monotonic clock.
    """

    def tick(self, now: float) -> list[Action]:
        """Run timers that are due; call it again at ``next_tick_at``."""
        if self.halted:
            return []
        if self.role is Role.LEADER:
            self.tick_leader(now)
        else:
            self.find_group(now)
            if self.is_voter and now >= self.election_due_at:
                self.campaign(now)
        return self.take_actions()

    def tick_leader(self, now: float) -> None:
        """Check the quorum, send heartbeats and continue membership changes."""
        if self.transfer_to and now >= self.transfer_until:
            self.become_follower(self.term, None, now)
            return
        self.check_quorum(now)
        if self.role is Role.LEADER and now >= self.heartbeat_due_at:
            self.broadcast(now, heartbeat=True)
            self.replace_lost_voters(now)
            self.promote_learners(now)

    def next_tick_at(self, now: float) -> float:
        """Return when ``tick`` has something to do if no message arrives."""
        if self.halted:
            return now + self.timing.election_max_s
        if self.role is Role.LEADER:
            heard_at = max(self.elected_at, self.quorum_contact_at(now))
            return min(self.heartbeat_due_at, heard_at + self.timing.election_min_s)
        if self.is_voter:
            return self.election_due_at
        return max(self.join_due_at, now + self.timing.heartbeat_s)

    def receive(self, sender: ReplicaId, message: Body, now: float) -> list[Action]:
        """Handle a message from another replica."""
        if not self.halted and sender != self.identity:
            getattr(self, HANDLERS[type(message)])(sender, message, now)
        return self.take_actions()

    def propose(
        self, commands: Sequence[bytes], now: float
    ) -> Result[tuple[list[int], list[Action]], Failure]:
        """Append commands; return their indices and the actions.

        Only the leader accepts commands (5001). A command is limited to
        ``MAX_COMMAND_BYTES`` (6002), so that a batch with it fits one message.
        """
        if self.role is not Role.LEADER or self.transfer_to or self.halted:
            return Err(Failure(ResultCode.NOT_LEADER, f"leader is {self.leader}"))
        if any(len(command) > MAX_COMMAND_BYTES for command in commands):
            message = f"a command exceeds {MAX_COMMAND_BYTES} bytes"
            return Err(Failure(ResultCode.MESSAGE_TOO_LARGE, message))
        items = [(EntryKind.COMMAND, command) for command in commands]
        indices = self.append_as_leader(items)
        self.broadcast(now, heartbeat=False)
        return Ok((indices, self.take_actions()))

    def persisted(self, index: int, term: int, now: float) -> list[Action]:
        """Record that the log is synced up to entry ``index`` of ``term``."""
        self.on_persisted(index, term, now)
        return self.take_actions()

    def transfer(self, now: float) -> list[Action]:
        """Transfer leadership to another voter before a planned stop."""
        self.begin_transfer(now)
        return self.take_actions()

    def halt(self, now: float) -> list[Action]:
        """Stop taking part because the disk failed.

        After a failed sync the content of the files is unknown, so the replica must
        not vote or acknowledge anything until the files have been read again.
        """
        self.halted = True
        self.begin_transfer(now)
        self.become_follower(self.term, None, now)
        return [
            one
            for one in self.take_actions()
            if not isinstance(one, SendMessage) or isinstance(one.body, TransferNow)
        ]
