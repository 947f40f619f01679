"""Takeover of journal records by the new owner of slots."""

from __future__ import annotations

from enum import Enum
from enum import auto
from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.journal.journal_store import MAX_LOCAL_RETENTION_S
from sassafraswharf.journal.messages import AgedRecord
from sassafraswharf.journal.messages import JournalBatch
from sassafraswharf.journal.messages import Seal
from sassafraswharf.journal.replication import read_quorum


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.journal.intent import JournalKey
    from sassafraswharf.journal.journal_quorum import JournalQuorum
    from sassafraswharf.journal.messages import JournalReply


UNAVAILABLE_AFTER_S = 1.0


class JournalSet(NamedTuple):
    """The members of the journal set of a session, that session included.

    It must come from a table at least as new as the epoch of the takeover: an
    older table may name a generation that no longer holds all records.
    Generation 0 says that the session never had a set.
    """

    session: SessionId
    generation: int
    members: tuple[SessionId, ...]


class TakeoverPhase(Enum):
    """The phase of a takeover."""

    SEALING = auto()
    COPYING = auto()
    READY = auto()
    LOST = auto()


class Takeover:
    """Seals the sources, merges their records and copies them to the new set.

    The phase ``READY`` tells the router to propose ``JournalReady``; once that
    is committed it marks the slots with :meth:`JournalQuorum.add_slots`. ``LOST`` says
    that a newer epoch has sealed the slots. Without a read quorum of every
    source the slots become unavailable after 1 s, and ready when the retention
    time has passed since the start.
    """

    def __init__(
        self,
        service: ServiceName,
        runs: Sequence[tuple[int, int]],
        epoch: int,
        sources: Iterable[JournalSet],
        quorum: JournalQuorum,
        now: float,
    ) -> None:
        self.service = service
        self.runs = tuple(runs)
        self.epoch = epoch
        self.quorum = quorum
        self.started_at = now
        self.phase = TakeoverPhase.SEALING
        self.sources = [source for source in sources if source.generation > 0]
        self.sealed_members: dict[SessionId, set[SessionId]] = {
            source.session: set() for source in self.sources
        }
        self.merged_records: dict[JournalKey, AgedRecord] = {}
        self.replicated_keys: tuple[JournalKey, ...] = ()
        quorum.add_slots(service, self.slots(), epoch, ready=False)
        self._seal_own_store(now)
        self.advance(now)

    def slots(self) -> Iterable[int]:
        """Return the slots that are taken over."""
        return (slot for start, n in self.runs for slot in range(start, start + n))

    def batches(self) -> list[JournalBatch]:
        """Return the seals that are still unanswered, one batch per member."""
        if self.phase is not TakeoverPhase.SEALING:
            return []
        seals: dict[SessionId, list[Seal]] = {}
        for source in self.sources:
            for member in source.members:
                if member not in self.sealed_members[source.session]:
                    seals.setdefault(member, []).append(self._seal(source, member))
        session = self.quorum.session
        return [
            JournalBatch(session, member, 0, False, (), tuple(found))
            for member, found in seals.items()
        ]

    def on_reply(self, batch: JournalBatch, reply: JournalReply, now: float) -> None:
        """Process the replies to the seals of a batch."""
        if self.phase is not TakeoverPhase.SEALING:
            return
        for seal, answer in zip(batch.seals, reply.seals, strict=False):
            if not self._matches(seal):
                continue
            if answer.code == ResultCode.STALE_EPOCH:
                self.phase = TakeoverPhase.LOST
                return
            if answer.code != ResultCode.OK or seal.source not in self.sealed_members:
                continue
            self._merge(answer.records)
            if answer.complete:
                self.sealed_members[seal.source].add(seal.member)
        self.advance(now)

    def advance(self, now: float) -> None:
        """Advance the phase as far as replies, replication and time allow."""
        waited_s = now - self.started_at
        if self.phase is TakeoverPhase.SEALING:
            if self.are_sources_sealed() or waited_s >= MAX_LOCAL_RETENTION_S:
                self._copy(now)
            elif waited_s >= UNAVAILABLE_AFTER_S:
                slots = self.slots()
                self.quorum.add_slots(self.service, slots, self.epoch, False, True)
        if self.phase is TakeoverPhase.COPYING and self.quorum.is_replicated(
            self.replicated_keys
        ):
            self.phase = TakeoverPhase.READY

    def are_sources_sealed(self) -> bool:
        """Return whether no source can decide an intent any more."""
        return all(
            len(self.sealed_members[source.session]) >= read_quorum(len(source.members))
            for source in self.sources
        )

    def _copy(self, now: float) -> None:
        adopted = self.quorum.adopt_records(
            self.merged_records.values(), self.epoch, now
        )
        if adopted.is_ok():
            self.replicated_keys = adopted.unwrap()
            self.phase = TakeoverPhase.COPYING
            self.quorum.add_slots(self.service, self.slots(), self.epoch, ready=False)
        elif adopted.unwrap_err().code is ResultCode.STALE_EPOCH:
            self.phase = TakeoverPhase.LOST

    def _seal_own_store(self, now: float) -> None:
        # The local store is sealed even if it is in none of the source sets: a
        # record in it may have precedence over the merged one.
        session = self.quorum.session
        own = JournalSet(session, 1, (session,))
        reply = self.quorum.store.seal(self._seal(own, session), now)
        if reply.code == ResultCode.STALE_EPOCH:
            self.phase = TakeoverPhase.LOST
        self._merge(reply.records)
        for source in self.sources:
            for member in source.members:
                seal = self._seal(source, member)
                if self.quorum.store.seal(seal, now).complete:
                    self.sealed_members[source.session].add(member)

    def _seal(self, source: JournalSet, member: SessionId) -> Seal:
        generation = source.generation
        return Seal(
            self.service, self.runs, self.epoch, source.session, generation, member
        )

    def _matches(self, seal: Seal) -> bool:
        """Return whether a seal is for the slots and the epoch of this takeover.

        Another takeover may name the same source and member for other slots.
        """
        own = (self.service, self.runs, self.epoch)
        return (seal.service, seal.runs, seal.epoch) == own

    def _merge(self, records: Iterable[AgedRecord]) -> None:
        for aged in records:
            key = aged.record.key
            known = self.merged_records.get(key)
            if known is None or known.record.precedence < aged.record.precedence:
                self.merged_records[key] = aged
