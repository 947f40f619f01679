"""Log replication: batches of the leader, acknowledgements of followers, commit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.consensus.actions import PersistEntries
from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.actions import TruncateFrom
from sassafraswharf.consensus.core import ReplicaCore
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.messages import AppendReply
from sassafraswharf.consensus.messages import AppendRequest
from sassafraswharf.consensus.progress import MAX_BATCH_BYTES
from sassafraswharf.consensus.progress import MAX_BATCH_ENTRIES
from sassafraswharf.consensus.progress import Progress
from sassafraswharf.consensus.timing import NEVER


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.identifiers import ReplicaId


# Clocks of two hosts may differ in rate by 5% (section 7 of the design page), so a
# leader relies on an answer for less time than its voters refuse votes.
CLOCK_RATE_MARGIN = 0.9


class Replication(ReplicaCore):
    """Log replication of leader and followers, and reads under a quorum lease."""

    verified_index = 0
    pending_reply: tuple[ReplicaId, float] | None = None
    term_start_index = 0
    elected_at = NEVER
    transfer_to: ReplicaId | None = None
    transfer_until = NEVER

    def reset_verified(self) -> None:
        """Reset the log prefix that is known to match the leader's."""
        self.verified_index = 0
        self.pending_reply = None

    # Leader.

    def quorum_contact_at(self, now: float) -> float:
        """Return when the newest messages that a quorum has answered were sent."""
        voters = self.log.voters
        contacts = sorted(
            (self.contact_at(voter, now) for voter in voters.voters), reverse=True
        )
        return contacts[voters.quorum - 1] if contacts else NEVER

    def contact_at(self, voter: ReplicaId, now: float) -> float:
        """Return when the newest answered message to a voter was sent."""
        if voter == self.identity:
            return now
        progress = self.progress.get(voter)
        return progress.contact_at if progress else NEVER

    def is_current_leader(self, now: float) -> bool:
        """Return whether no other replica can have become leader until ``now``.

        It is also false until an entry of the current term is committed, because the
        state machine may lack acknowledged commands before, and after a transfer
        has started, because its target doesn't wait for the election timeout.
        """
        if self.role is not Role.LEADER or self.halted or self.transfer_to:
            return False
        if self.commit_index < self.term_start_index:
            return False
        trusted_s = self.timing.election_min_s * CLOCK_RATE_MARGIN
        return now - self.quorum_contact_at(now) < trusted_s

    def append_as_leader(self, items: Sequence[tuple[EntryKind, bytes]]) -> list[int]:
        """Append entries of the current term to the leader's log."""
        first = self.log.last_index + 1
        entries = tuple(
            Entry(index, self.term, kind, data)
            for index, (kind, data) in enumerate(items, first)
        )
        self.log.append(entries)
        self.actions.append(PersistEntries(entries))
        self.update_tracked_members()
        return [entry.log_index for entry in entries]

    def update_tracked_members(self) -> None:
        """Track the progress of exactly the current members."""
        others = set(self.log.voters.members) - {self.identity}
        for gone in set(self.progress) - others:
            del self.progress[gone]
        for new in sorted(others - set(self.progress)):
            self.progress[new] = Progress(self.log.last_index + 1)

    def broadcast(self, now: float, *, heartbeat: bool) -> None:
        """Send what each member lacks."""
        if heartbeat:
            self.heartbeat_due_at = now + self.timing.heartbeat_s
        for target in self.progress:
            self.replicate(target, now, heartbeat=heartbeat)

    def replicate(self, target: ReplicaId, now: float, *, heartbeat: bool) -> None:
        """Send batches to one member, at least an empty one for a heartbeat."""
        progress = self.progress[target]
        if heartbeat:
            # This can move the next index before the start of the log, so it
            # precedes the choice between entries and snapshot.
            progress.repeat_probe()
        if progress.snapshot_index or progress.next_index <= self.log.base_index:
            self.send_chunk(target, now)
            return
        while progress.may_send_batch and progress.next_index <= self.log.last_index:
            entries = self.log.batch(
                progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES
            )
            self.send_append(target, progress, entries, now)
            progress.record_sent(entries[-1].log_index)
            heartbeat = False
        if heartbeat:
            self.send_append(target, progress, (), now)

    def send_append(
        self,
        target: ReplicaId,
        progress: Progress,
        entries: tuple[Entry, ...],
        now: float,
    ) -> None:
        """Send one batch that starts at the next index."""
        previous = progress.next_index - 1
        term = self.log.term_at(previous) or 0
        self.send(
            target,
            AppendRequest(self.term, previous, term, entries, self.commit_index, now),
        )

    def send_chunk(self, target: ReplicaId, now: float) -> None:
        """Send a part of the snapshot; see ``SnapshotTransfer``."""
        raise NotImplementedError

    def on_append_reply(
        self, sender: ReplicaId, message: AppendReply, now: float
    ) -> None:
        """Advance the sender's progress and the commit index."""
        if message.term > self.term:
            self.become_follower(message.term, None, now)
            return
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or message.term < self.term or not progress:
            return
        progress.record_contact(message.sent_at, now)
        if message.accepted:
            progress.record_accepted(message.log_index)
            self.advance_commit(now)
        elif not progress.snapshot_index:
            progress.record_rejected(message.previous, message.log_index)
        # The commit may have made this replica step down or removed the sender.
        if sender in self.progress:
            self.replicate(sender, now, heartbeat=False)
            self.after_progress(sender, now)

    def after_progress(self, sender: ReplicaId, now: float) -> None:
        """Continue work that waited for a member to catch up."""

    def may_commit(self, index: int) -> bool:
        """Return whether a quorum suffices to commit an entry.

        An entry of an older term can still be replaced although a quorum has it,
        so it is committed only together with a later entry of the current term.
        """
        return self.log.term_at(index) == self.term

    def advance_commit(self, now: float) -> None:
        """Commit what a quorum of the voters has synced."""
        voters = self.log.voters
        synced = sorted(
            (
                self.persisted_index
                if voter == self.identity
                else self.progress[voter].match_index
                for voter in voters.voters
            ),
            reverse=True,
        )
        index = synced[voters.quorum - 1]
        if index > self.commit_index and self.may_commit(index):
            self.commit_to(index)
            self.after_commit(now)

    def after_commit(self, now: float) -> None:
        """Continue work that waited for a commit."""

    def on_persisted(self, index: int, term: int, now: float) -> None:
        """Record that the log is synced up to entry ``index`` of ``term``.

        The term tells a synced entry from a later one at the same index that
        replaced it while the sync was running.
        """
        if self.halted or self.log.term_at(index) != term:
            return
        self.persisted_index = max(self.persisted_index, index)
        if self.role is Role.LEADER:
            self.advance_commit(now)
        elif self.pending_reply:
            self.acknowledge(*self.pending_reply)

    # Follower.

    def on_append(self, sender: ReplicaId, message: AppendRequest, now: float) -> None:
        """Append the leader's entries, or reject them with a conflict hint."""
        expected = range(
            message.prev_index + 1, message.prev_index + 1 + len(message.entries)
        )
        if [entry.log_index for entry in message.entries] != list(expected):
            # A gap would shift all later entries to wrong positions.
            return
        if not self.accept_leader(sender, message.term, now):
            self.send(sender, AppendReply(self.term, False, 0, 0, message.sent_at))
            return
        previous, entries = message.prev_index, message.entries
        if previous < self.log.base_index:
            # Entries up to the base are committed, so they agree.
            entries = tuple(
                one for one in entries if one.log_index > self.log.base_index
            )
            previous = self.log.base_index
        elif self.log.term_at(previous) != message.prev_term:
            hint = self.conflict_hint(previous)
            reply = AppendReply(self.term, False, hint, previous, message.sent_at)
            self.send(sender, reply)
            return
        self.store_entries(entries)
        self.verified_index = max(self.verified_index, previous + len(entries))
        self.commit_to(min(message.commit, self.verified_index))
        if entries and self.persisted_index < self.verified_index:
            self.pending_reply = (sender, message.sent_at)
        else:
            self.acknowledge(sender, message.sent_at)

    def accept_leader(self, sender: ReplicaId, term: int, now: float) -> bool:
        """Accept the sender as leader unless its term is older than the current one."""
        if term < self.term:
            return False
        if term > self.term or self.leader != sender or self.role is Role.LEADER:
            self.become_follower(term, sender, now)
        self.change_role(Role.FOLLOWER if self.is_voter else Role.LEARNER)
        self.leader_heard_at = now
        self.start_election_timer(now)
        return True

    def conflict_hint(self, previous: int) -> int:
        """Return the last index that may match a leader whose entries conflict."""
        if previous > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(previous)
        while previous > self.commit_index and self.log.term_at(previous) == term:
            previous -= 1
        return previous

    def store_entries(self, entries: tuple[Entry, ...]) -> None:
        """Replace the entries that conflict and append the new ones."""
        for position, entry in enumerate(entries):
            present = self.log.term_at(entry.log_index)
            if present == entry.term:
                continue
            if present is not None:
                self.log.truncate(entry.log_index)
                self.persisted_index = min(self.persisted_index, entry.log_index - 1)
                self.actions.append(TruncateFrom(entry.log_index))
            self.log.append(entries[position:])
            self.actions.append(PersistEntries(entries[position:]))
            break
        self.change_role(Role.FOLLOWER if self.is_voter else Role.LEARNER)

    def durable_index(self) -> int:
        """Return the highest index that may be acknowledged: matching and synced."""
        return min(self.verified_index, self.persisted_index)

    def acknowledge(self, leader: ReplicaId, sent_at: float) -> None:
        """Acknowledge the synced entries to the leader."""
        if self.verified_index <= self.persisted_index:
            self.pending_reply = None
        reply = AppendReply(self.term, True, self.durable_index(), 0, sent_at)
        self.send(leader, reply)
