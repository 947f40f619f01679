"""Log compaction, and snapshot transfer in chunks to members that are far behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.consensus.actions import InstallSnapshot
from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.messages import AppendReply
from sassafraswharf.consensus.messages import SnapshotChunk
from sassafraswharf.consensus.messages import SnapshotReply
from sassafraswharf.consensus.replication import Replication
from sassafraswharf.consensus.timing import NEVER


if TYPE_CHECKING:
    from sassafraswharf.identifiers import ReplicaId


# A message is limited to 1 MiB, with the envelope.
CHUNK_BYTES = 512 * 1_024


class SnapshotTransfer(Replication):
    """Snapshot transfer with one chunk in flight per member, resent until answered."""

    incoming_key: tuple[int, int, int] = (0, 0, 0)
    incoming: bytearray = bytearray()

    def compact(self, snapshot: Snapshot) -> None:
        """Drop log entries covered by a snapshot that is on disk."""
        if snapshot.log_index > self.log.snapshot.log_index:
            self.log.compact(snapshot)

    def send_chunk(self, target: ReplicaId, now: float) -> None:
        """Send the current chunk unless it was sent within a heartbeat period."""
        progress = self.progress[target]
        snapshot = self.log.snapshot
        if progress.snapshot_index != snapshot.log_index:
            progress.snapshot_index = snapshot.log_index
            progress.snapshot_offset = 0
        elif now < progress.snapshot_sent_at + self.timing.heartbeat_s:
            return
        progress.snapshot_sent_at = now
        start = progress.snapshot_offset
        self.send(
            target,
            SnapshotChunk(
                self.term,
                snapshot.log_index,
                snapshot.term,
                snapshot.voters,
                start,
                len(snapshot.data),
                snapshot.data[start : start + CHUNK_BYTES],
                now,
            ),
        )

    def on_snapshot_reply(
        self, sender: ReplicaId, message: SnapshotReply, now: float
    ) -> None:
        """Send the next chunk, or the one at the offset that the member reports."""
        if message.term > self.term:
            self.become_follower(message.term, None, now)
            return
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or message.term < self.term or not progress:
            return
        progress.record_contact(message.sent_at, now)
        if message.log_index != progress.snapshot_index or not progress.snapshot_index:
            return
        if message.received != progress.snapshot_offset:
            progress.snapshot_offset = message.received
            progress.snapshot_sent_at = NEVER
        self.send_chunk(sender, now)

    def on_append_reply(
        self, sender: ReplicaId, message: AppendReply, now: float
    ) -> None:
        """End the transfer when the member has synced the snapshot."""
        progress = self.progress.get(sender)
        valid = message.accepted and message.term == self.term
        if progress and valid and 0 < progress.snapshot_index <= message.log_index:
            progress.snapshot_index = 0
            progress.next_index = message.log_index + 1
        super().on_append_reply(sender, message, now)

    def on_snapshot_chunk(
        self, sender: ReplicaId, message: SnapshotChunk, now: float
    ) -> None:
        """Collect a chunk; install the snapshot when it is complete."""
        if not self.accept_leader(sender, message.term, now):
            self.send(sender, AppendReply(self.term, False, 0, 0, message.sent_at))
            return
        if message.log_index <= self.commit_index:
            self.verified_index = max(self.verified_index, message.log_index)
            self.acknowledge(sender, message.sent_at)
            return
        key = (message.term, message.log_index, message.total)
        if key != self.incoming_key:
            self.incoming_key = key
            self.incoming = bytearray()
        if message.offset == len(self.incoming):
            self.incoming += message.data
        if len(self.incoming) < message.total:
            received = len(self.incoming)
            reply = SnapshotReply(
                self.term, message.log_index, received, message.sent_at
            )
            self.send(sender, reply)
            return
        data = bytes(self.incoming)
        self.incoming_key = (0, 0, 0)
        self.incoming = bytearray()
        self.install(
            Snapshot(message.log_index, message.index_term, message.voters, data)
        )
        self.pending_reply = (sender, message.sent_at)

    def install(self, snapshot: Snapshot) -> None:
        """Replace log and state machine; the snapshot is acknowledged once synced."""
        retained = self.log.install(snapshot)
        self.persisted_index = 0
        self.commit_index = snapshot.log_index
        self.verified_index = max(self.verified_index, snapshot.log_index)
        self.actions.append(InstallSnapshot(snapshot, retained))
        self.change_role(Role.FOLLOWER if self.is_voter else Role.LEARNER)
