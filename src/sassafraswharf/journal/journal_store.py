"""In-memory record store of one process as a member of journal sets."""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.journal.intent import RETENTION_S
from sassafraswharf.journal.intent import Intent
from sassafraswharf.journal.intent import JournalKey
from sassafraswharf.journal.intent import Record
from sassafraswharf.journal.intent import RecordState
from sassafraswharf.journal.intent import record_of
from sassafraswharf.journal.messages import AgedRecord
from sassafraswharf.journal.messages import JournalBatch
from sassafraswharf.journal.messages import JournalReply
from sassafraswharf.journal.messages import Seal
from sassafraswharf.journal.messages import SealReply


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId


# After this time no member can return a record any more.
MAX_LOCAL_RETENTION_S = RETENTION_S / 0.95
MAX_STORE_BYTES = 16 * 1024 * 1024
# New intents are refused at three quarters, which leaves space for a takeover.
INTENT_LIMIT_BYTES = MAX_STORE_BYTES * 3 // 4
MAX_ANSWER_BYTES = 4096
MAX_INTENT_RECORD_BYTES = 1024
MAX_SLOTS_PER_SEAL = 65_536
FIRST_GENERATION = 1


class JournalStore:
    """The in-memory records of a member for all its journal sets.

    The store lives as long as its process and keeps its records when the host
    opens another session, so that a host that was frozen remains the same
    member. A restarted process has an empty store and other sessions,
    so it is never mistaken for the member that lost its records.
    """

    def __init__(self) -> None:
        self.sessions: set[SessionId] = set()
        self.slots: dict[tuple[ServiceName, int], dict[JournalKey, Record]] = {}
        self.recorded_at: dict[JournalKey, float] = {}
        self.expiries: list[tuple[float, JournalKey]] = []
        self.sealed_epochs: dict[tuple[ServiceName, int], int] = {}
        self.complete_generations: dict[SessionId, int] = {}
        self.interned_retentions: dict[int, int] = {}
        self.total_bytes = 0

    def handle(self, batch: JournalBatch, now: float) -> JournalReply:
        """Apply a batch and return its reply; idempotent."""
        codes = tuple(int(code) for code in self._apply_records(batch, now))
        seals = tuple(self.seal(seal, now) for seal in batch.seals)
        return JournalReply(codes, seals)

    def record_intent(self, intent: Intent, now: float) -> Result[None, Failure]:
        """Store an intent.

        The failures are 3005 if the key belongs to another body, 3108 if the
        store is full, 3201 if the key has an outcome and 4003 after a seal.
        """
        return self._result(self._put(record_of(intent), 0.0, INTENT_LIMIT_BYTES, now))

    def record_outcome(self, record: Record, now: float) -> Result[None, Failure]:
        """Store an outcome, without its answer if that is too large."""
        return self._result(self._put(record, 0.0, MAX_STORE_BYTES, now))

    def import_records(
        self, records: Sequence[AgedRecord], now: float
    ) -> Result[None, Failure]:
        """Store records that a takeover has merged."""
        for record, age_s in records:
            code = self._put(record, age_s, MAX_STORE_BYTES, now)
            if code is not ResultCode.OK:
                return self._result(code)
        return Ok(None)

    def seal(self, seal: Seal, now: float) -> SealReply:
        """Fence older epochs of the slots and return the records of the slots."""
        self.drop_expired(now)
        if sum(length for _, length in seal.runs) > MAX_SLOTS_PER_SEAL:
            return SealReply(ResultCode.MESSAGE_MALFORMED, False, ())
        slots = [(seal.service, slot) for slot in _slots(seal.runs)]
        if any(self.sealed_epochs.get(slot, 0) > seal.epoch for slot in slots):
            return SealReply(ResultCode.STALE_EPOCH, False, ())
        records: list[AgedRecord] = []
        for slot in slots:
            self.sealed_epochs[slot] = seal.epoch
            for key, record in self.slots.get(slot, {}).items():
                records.append(AgedRecord(record, now - self.recorded_at[key]))
        return SealReply(ResultCode.OK, self._is_complete(seal), tuple(records))

    def get(self, key: JournalKey, now: float) -> Record | None:
        """Return the record of a key that is still retained."""
        recorded_at = self.recorded_at.get(key)
        if recorded_at is None:
            return None
        record = self.slots[key[:2]][key]
        return record if now - recorded_at < record.local_retention_s else None

    def records_owned_by(self, owner: SessionId) -> Iterator[Record]:
        """Return the records that belong to an owner."""
        for records in self.slots.values():
            for record in records.values():
                if record.owner == owner:
                    yield record

    def age_s(self, key: JournalKey, now: float) -> float:
        """Return how long ago the newest state of a key was recorded."""
        return max(0.0, now - self.recorded_at.get(key, now))

    def is_full(self, now: float) -> bool:
        """Return whether new intents are refused."""
        self.drop_expired(now)
        return self.total_bytes + MAX_INTENT_RECORD_BYTES > INTENT_LIMIT_BYTES

    def drop_expired(self, now: float) -> None:
        """Drop the records whose retention time has passed."""
        while self.expiries and self.expiries[0][0] <= now:
            key = heappop(self.expiries)[1]
            recorded_at = self.recorded_at.get(key)
            if recorded_at is None:
                continue
            records = self.slots[key[:2]]
            expires_at = recorded_at + records[key].local_retention_s
            if expires_at > now:
                heappush(self.expiries, (expires_at, key))
                continue
            del self.recorded_at[key]
            self.total_bytes -= records.pop(key).size_bytes
            if not records:
                del self.slots[key[:2]]

    def is_sealed(self, record: Record) -> bool:
        """Return whether a newer epoch has sealed the slot of a record."""
        sealed_epoch = self.sealed_epochs.get((record.service, record.slot), 0)
        return record.epoch < sealed_epoch

    def _apply_records(self, batch: JournalBatch, now: float) -> Iterable[ResultCode]:
        if not batch.records and not batch.complete:
            return []
        if batch.member not in self.sessions:
            return [ResultCode.SESSION_CLOSED] * max(1, len(batch.records))
        known = self.complete_generations.get(batch.owner, 0)
        if batch.generation < known or not (
            batch.complete or batch.generation == known
        ):
            return [ResultCode.STALE_TABLE_VERSION] * max(1, len(batch.records))
        codes = []
        for record, age_s in batch.records:
            intent = record.state is RecordState.INTENT and not batch.complete
            limit = INTENT_LIMIT_BYTES if intent else MAX_STORE_BYTES
            codes.append(self._put(record, age_s, limit, now))
        # A full store lacks records, so the member must not count towards a quorum.
        # After any other refusal it holds a record of higher precedence or a newer
        # owner has the slot.
        if batch.complete and ResultCode.JOURNAL_FULL not in codes:
            self.complete_generations[batch.owner] = batch.generation
        return codes

    def _is_complete(self, seal: Seal) -> bool:
        if seal.member not in self.sessions:
            return False
        if seal.source in self.sessions:
            return True
        known = self.complete_generations.get(seal.source, 0)
        # A member of the first generation that was never complete has
        # acknowledged nothing, so no decision depends on it.
        return known >= seal.generation or seal.generation == FIRST_GENERATION

    def _put(
        self, record: Record, age_s: float, max_bytes: int, now: float
    ) -> ResultCode:
        self.drop_expired(now)
        if self.is_sealed(record):
            return ResultCode.STALE_EPOCH
        key = record.key
        known = self.get(key, now)
        if known is not None:
            conflict = _conflict_code(known, record)
            if conflict is not None:
                return conflict
            # Decoded messages hold their own copies of equal strings; share them.
            record = record._replace(
                service=known.service, idempotency_key=known.idempotency_key
            )
            if record.body_digest == known.body_digest:
                record = record._replace(body_digest=known.body_digest)
        # Decoded numbers above 256 take 28 bytes each unless they are shared.
        retention_s = self.interned_retentions.setdefault(
            record.retention_s, record.retention_s
        )
        record = self._without_oversized_answer(
            record._replace(retention_s=retention_s), known
        )
        growth = record.size_bytes - (known.size_bytes if known is not None else 0)
        if known is None and self.total_bytes + growth > max_bytes:
            return ResultCode.JOURNAL_FULL
        self.total_bytes += growth
        self.slots.setdefault(key[:2], {})[key] = record
        if known is None or known.precedence < record.precedence:
            self.recorded_at[key] = now - max(0.0, age_s)
        if known is None:
            heappush(
                self.expiries, (self.recorded_at[key] + record.local_retention_s, key)
            )
        return ResultCode.OK

    def _without_oversized_answer(self, record: Record, known: Record | None) -> Record:
        """Return the record, without its answer if that exceeds a limit.

        The outcome itself always fits, because its intent has reserved the space.
        """
        if record.state is not RecordState.ANSWER:
            return record
        growth = record.size_bytes - (known.size_bytes if known is not None else 0)
        if (
            len(record.answer) <= MAX_ANSWER_BYTES
            and self.total_bytes + growth <= MAX_STORE_BYTES
        ):
            return record
        return record._replace(state=RecordState.RAN, answer=b"")

    def _result(self, code: ResultCode) -> Result[None, Failure]:
        if code is ResultCode.OK:
            return Ok(None)
        return Err(Failure(code, "the journal refused the record"))


def _conflict_code(known: Record, record: Record) -> ResultCode | None:
    """Return why a record can't replace a known one, ``None`` if it can.

    A known record of a lower epoch with another body was never decided, since
    the owner of the higher epoch would have found it, so it is replaced.
    """
    ran = known.state >= RecordState.RAN
    if known.body_digest != record.body_digest and (ran or known.epoch >= record.epoch):
        return ResultCode.IDEMPOTENCY_KEY_MISMATCH
    if known.precedence <= record.precedence:
        return None
    if known.epoch == record.epoch:
        return ResultCode.OK
    return ResultCode.OUTCOME_UNKNOWN if ran else ResultCode.STALE_EPOCH


def _slots(runs: Iterable[tuple[int, int]]) -> Iterable[int]:
    for start, length in runs:
        yield from range(start, start + length)
