"""Election: pre-vote, vote, check-quorum and leader transfer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.membership import Membership
from sassafraswharf.consensus.messages import TransferNow
from sassafraswharf.consensus.messages import VoteReply
from sassafraswharf.consensus.messages import VoteRequest
from sassafraswharf.consensus.voters import encode_voters


if TYPE_CHECKING:
    from sassafraswharf.identifiers import ReplicaId


class Election(Membership):
    """Elections, quorum checks and leadership transfer."""

    votes: frozenset[ReplicaId] = frozenset()

    def uses_pre_vote(self) -> bool:
        """Return whether a candidate asks for pre-votes before it starts a term.

        Without them a replica that was partitioned returns with a higher term and
        makes a healthy leader step down.
        """
        return True

    def campaign(self, now: float) -> None:
        """Start an election after a timeout."""
        self.leader = None
        if self.uses_pre_vote():
            self.change_role(Role.PRE_CANDIDATE)
            self.request_votes(self.term + 1, now, pre_vote=True, transfer=False)
        else:
            self.start_term(now, transfer=False)

    def start_term(self, now: float, *, transfer: bool) -> None:
        """Vote for itself in a new term and request the votes of the others."""
        self.update_state(
            self.state._replace(term=self.term + 1, voted_for=self.identity)
        )
        self.reset_verified()
        self.leader = None
        self.change_role(Role.CANDIDATE)
        self.request_votes(self.term, now, pre_vote=False, transfer=transfer)

    def request_votes(
        self, term: int, now: float, *, pre_vote: bool, transfer: bool
    ) -> None:
        """Send vote requests to the other voters and count its own vote."""
        self.votes = frozenset()
        self.start_election_timer(now)
        request = VoteRequest(
            term, self.log.last_index, self.log.last_term, pre_vote, transfer
        )
        for voter in self.log.voters.voters:
            if voter != self.identity:
                self.send(voter, request)
        self.count_vote(self.identity, now)

    def count_vote(self, voter: ReplicaId, now: float) -> None:
        """Count a vote; with a quorum start the term or become the leader."""
        self.votes |= {voter}
        voters = self.log.voters
        if len(self.votes & set(voters.voters)) < voters.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_term(now, transfer=False)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now)

    def become_leader(self, now: float) -> None:
        """Become leader and append an entry, so that older entries can be committed."""
        self.leader = self.identity
        self.progress = {}
        self.elected_at = now
        self.transfer_to = None
        self.term_start_index = self.log.last_index + 1
        self.change_role(Role.LEADER)
        # The bootstrap voters are appended in the first term, so that every later
        # member receives them with the log.
        first = (EntryKind.NOOP, b"")
        if self.log.voters_index == 0:
            first = (EntryKind.VOTERS, encode_voters(self.log.voters))
        self.append_as_leader([first])
        for progress in self.progress.values():
            progress.next_index = self.term_start_index
        self.broadcast(now, heartbeat=True)

    def refuses_votes(self, now: float) -> bool:
        """Return whether votes are refused because a leader was active recently."""
        if self.role is Role.LEADER:
            heard_at = self.quorum_contact_at(now)
            return now - heard_at < self.timing.election_min_s
        sole = self.log.voters.voters == (self.identity,)
        return not sole and now - self.leader_heard_at < self.timing.election_min_s

    def is_up_to_date(self, message: VoteRequest) -> bool:
        """Return whether the candidate's log has everything this one has."""
        own = (self.log.last_term, self.log.last_index)
        return (message.last_term, message.last_index) >= own

    def on_vote_request(
        self, sender: ReplicaId, message: VoteRequest, now: float
    ) -> None:
        """Grant or refuse a vote or pre-vote."""
        refused = not self.has_group or (
            self.refuses_votes(now) and not message.transfer
        )
        if message.pre_vote:
            granted = (
                not refused and message.term > self.term and self.is_up_to_date(message)
            )
            term = message.term if granted else self.term
            self.send(sender, VoteReply(term, granted, True))
            return
        if not refused and message.term > self.term:
            self.become_follower(message.term, None, now)
        granted = (
            not refused
            and message.term == self.term
            and self.state.voted_for in {None, sender}
            and self.is_up_to_date(message)
        )
        if granted:
            self.update_state(self.state._replace(voted_for=sender))
            self.start_election_timer(now)
        self.send(sender, VoteReply(self.term, granted, False))

    def on_vote_reply(self, sender: ReplicaId, message: VoteReply, now: float) -> None:
        """Count a granted vote; follow a newer term."""
        if not message.granted:
            if message.term > self.term:
                self.become_follower(message.term, None, now)
            return
        asked = {
            Role.PRE_CANDIDATE: (self.term + 1, True),
            Role.CANDIDATE: (self.term, False),
        }.get(self.role)
        if asked == (message.term, message.pre_vote):
            self.count_vote(sender, now)

    def check_quorum(self, now: float) -> None:
        """Step down when no quorum has answered within ``election_min_s``."""
        heard_at = max(self.elected_at, self.quorum_contact_at(now))
        if now - heard_at >= self.timing.election_min_s:
            self.become_follower(self.term, None, now)

    # Transfer.

    def begin_transfer(self, now: float) -> None:
        """Start a transfer to the reachable voter with the longest matching log.

        From then on ``is_current_leader`` is false for the rest of the term, because
        a delayed ``TransferNow`` may start an election at any later time.
        """
        voters = [one for one in self.log.voters.voters if one in self.progress]
        if self.role is not Role.LEADER or self.transfer_to or not voters:
            return
        fresh_since = now - self.timing.election_min_s
        self.transfer_to = max(
            voters,
            key=lambda one: (
                self.progress[one].contact_at > fresh_since,
                self.progress[one].match_index,
                one,
            ),
        )
        self.transfer_until = now + self.timing.election_max_s
        self.after_progress(self.transfer_to, now)

    def after_progress(self, sender: ReplicaId, now: float) -> None:
        """Start the target's election once it has the whole log."""
        if sender != self.transfer_to:
            return
        if self.progress[sender].match_index >= self.log.last_index or self.halted:
            self.send(sender, TransferNow(self.term))
            self.transfer_until = now + self.timing.election_max_s

    def on_transfer(self, sender: ReplicaId, message: TransferNow, now: float) -> None:
        """Become a candidate at once if the sender leads the current term."""
        if message.term == self.term and sender == self.leader and self.is_voter:
            self.start_term(now, transfer=True)
