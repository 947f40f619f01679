"""Replication of one owner's records to the peers of its journal set."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.codes import ResultCode
from sassafraswharf.journal.messages import AgedRecord
from sassafraswharf.journal.messages import JournalBatch


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.journal.intent import JournalKey
    from sassafraswharf.journal.intent import Record
    from sassafraswharf.journal.intent import RecordState
    from sassafraswharf.journal.journal_store import JournalStore
    from sassafraswharf.journal.messages import JournalReply


MAX_RECORDS_PER_BATCH = 500

_CODES = frozenset(ResultCode)
_RETRIED_CODES = frozenset({ResultCode.STALE_TABLE_VERSION, ResultCode.SESSION_CLOSED})


class Peer:
    """The replication progress of a member of the journal set.

    ``unacknowledged`` holds every key whose newest state the member may lack;
    ``unsent`` those of them that wait for the next batch. The member counts
    towards quorums once it is ``complete`` for the current generation.
    """

    __slots__ = ("complete", "full_copy_in_flight", "unacknowledged", "unsent")

    def __init__(self, keys: Iterable[JournalKey]) -> None:
        self.complete = False
        self.full_copy_in_flight = False
        self.unacknowledged = dict.fromkeys(keys)
        self.unsent: dict[JournalKey, None] = {}


def write_quorum(members: int) -> int:
    """Return how many members of a set, the owner included, must record."""
    return members // 2 + 1


def read_quorum(members: int) -> int:
    """Return how many members must be sealed to intersect every write quorum."""
    return members - write_quorum(members) + 1


class Replication:
    """Sends the records of one owner to its peers and counts the copies.

    A change of the set makes every peer incomplete. A remaining peer is sent only
    what it has not acknowledged; a new peer is sent all records.
    """

    def __init__(self, session: SessionId, store: JournalStore) -> None:
        self.session = session
        self.store = store
        self.generation = 0
        self.peers: dict[SessionId, Peer] = {}

    def set_peers(
        self,
        generation: int,
        peers: Sequence[SessionId],
        pending: Iterable[JournalKey],
    ) -> bool:
        """Switch to a new journal set; return whether it is newer than the last."""
        if generation <= self.generation:
            return False
        self.generation = generation
        own = [record.key for record in self.store.records_owned_by(self.session)]
        pending = list(pending)
        previous, self.peers = self.peers, {}
        for session in peers:
            known = previous.get(session)
            keys = own if known is None else [*known.unacknowledged, *pending]
            if session != self.session:
                self.peers[session] = Peer(keys)
        return True

    def enqueue(self, key: JournalKey) -> None:
        """Queue the new state of a key for all peers."""
        for peer in self.peers.values():
            peer.unacknowledged[key] = None
            peer.unsent[key] = None

    def is_replicated(self, keys: Iterable[JournalKey]) -> bool:
        """Return whether a write quorum of the set holds all the keys."""
        keys = list(keys)
        holding = sum(
            peer.complete and not any(key in peer.unacknowledged for key in keys)
            for peer in self.peers.values()
        )
        members = 1 + len(self.peers)
        return self.generation > 0 and 1 + holding >= write_quorum(members)

    def can_reach_quorum(self, refused: int) -> bool:
        """Return whether a write quorum is possible without some peers."""
        members = 1 + len(self.peers)
        return members - refused >= write_quorum(members)

    def take_batches(self, now: float) -> list[JournalBatch]:
        """Return what to send now, at most one batch per peer."""
        batches = []
        for session, peer in self.peers.items():
            if peer.full_copy_in_flight or (peer.complete and not peer.unsent):
                continue
            keys = list(peer.unsent)[:MAX_RECORDS_PER_BATCH]
            if not peer.complete:
                peer.full_copy_in_flight = True
                keys = list(peer.unacknowledged)
            for key in keys:
                peer.unsent.pop(key, None)
            batches.append(self._batch(session, peer, keys, now))
        return batches

    def on_reply(
        self, batch: JournalBatch, reply: JournalReply, now: float
    ) -> list[tuple[Record, ResultCode]]:
        """Count the acknowledgements; return the records with their codes."""
        peer = self.peers.get(batch.member)
        if peer is None or batch.generation != self.generation:
            return []
        codes = [ResultCode(code) for code in reply.codes if code in _CODES]
        if len(codes) < len(batch.records) or not _RETRIED_CODES.isdisjoint(codes):
            self.on_send_failed(batch)
            return []
        if batch.complete:
            peer.full_copy_in_flight = False
            peer.complete = ResultCode.JOURNAL_FULL not in codes
        answered = [
            (aged.record, code)
            for aged, code in zip(batch.records, codes, strict=False)
        ]
        for record, code in answered:
            current = self.store.get(record.key, now)
            if current is None or (
                code is ResultCode.OK
                and record_version(current) == record_version(record)
            ):
                peer.unacknowledged.pop(record.key, None)
                peer.unsent.pop(record.key, None)
        return answered

    def on_send_failed(self, batch: JournalBatch) -> None:
        """Requeue the records of a lost batch; the router controls the retry rate."""
        peer = self.peers.get(batch.member)
        if peer is None or batch.generation != self.generation:
            return
        peer.full_copy_in_flight = False
        for aged in batch.records:
            if aged.record.key in peer.unacknowledged:
                peer.unsent[aged.record.key] = None

    def _batch(
        self, session: SessionId, peer: Peer, keys: Iterable[JournalKey], now: float
    ) -> JournalBatch:
        records = []
        for key in keys:
            record = self.store.get(key, now)
            if record is None or record.owner != self.session:
                peer.unacknowledged.pop(key, None)
                continue
            records.append(AgedRecord(record, self.store.age_s(key, now)))
        return JournalBatch(
            self.session,
            session,
            self.generation,
            not peer.complete,
            tuple(records),
            (),
        )


def record_version(record: Record) -> tuple[int, int, RecordState]:
    """Return what distinguishes two states of a key recorded by one owner."""
    return (record.epoch, record.attempt, record.state)
