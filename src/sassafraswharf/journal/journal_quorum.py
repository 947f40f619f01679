"""Quorum-replicated journal on the slot owner, without I/O.

The router calls the methods, then drains :meth:`JournalQuorum.take_batches` and
:meth:`JournalQuorum.take_events`. It calls :meth:`JournalQuorum.lookup` before
admission, :meth:`JournalQuorum.begin` when admission lets the request start,
and :meth:`JournalQuorum.dispatch` right before it sends the request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.journal.decision import DECISION_BY_STATE
from sassafraswharf.journal.decision import QUORUM_TRANSITIONS
from sassafraswharf.journal.decision import UNDISPATCHED_PHASES
from sassafraswharf.journal.decision import AttemptPhase
from sassafraswharf.journal.decision import Decision
from sassafraswharf.journal.decision import EventKind
from sassafraswharf.journal.decision import JournalDecision
from sassafraswharf.journal.decision import JournalEvent
from sassafraswharf.journal.decision import OwnedSlot
from sassafraswharf.journal.intent import RETENTION_S
from sassafraswharf.journal.intent import Intent
from sassafraswharf.journal.intent import RecordState
from sassafraswharf.journal.intent import record_of
from sassafraswharf.journal.replication import Replication
from sassafraswharf.journal.replication import record_version


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.journal.intent import JournalKey
    from sassafraswharf.journal.intent import Record
    from sassafraswharf.journal.journal_store import JournalStore
    from sassafraswharf.journal.messages import AgedRecord
    from sassafraswharf.journal.messages import JournalBatch
    from sassafraswharf.journal.messages import JournalReply


class Attempt:
    """An unfinished attempt of this process."""

    __slots__ = ("deadline_at", "phase", "record", "refusals")

    def __init__(self, phase: AttemptPhase, record: Record, deadline_at: float) -> None:
        self.phase = phase
        self.record = record
        self.deadline_at = deadline_at
        self.refusals: set[SessionId] = set()


class JournalQuorum:
    """The journal of a session that owns slots.

    An intent is decided when a write quorum of the journal set holds it, the owner
    included. Only peers that also hold all earlier records count towards the
    quorum.
    """

    def __init__(self, session: SessionId, store: JournalStore) -> None:
        self.session = session
        self.store = store
        self.replication = Replication(session, store)
        self.slots: dict[tuple[ServiceName, int], OwnedSlot] = {}
        self.retention_s_by_service: dict[ServiceName, int] = {}
        self.attempts: dict[JournalKey, Attempt] = {}
        self.events: list[JournalEvent] = []
        self.lease_expires_at = float("-inf")
        self.last_attempt_number = 0
        store.sessions.add(session)

    def set_lease_expiry(self, lease_expires_at: float) -> None:
        """Set the time at which the lease of the session expires.

        Without a valid lease no intent, closure or dispatch begins. A takeover
        that finds no quorum ends after the retention time, counted from its
        start; it relies on an old owner that has decided nothing since then.
        """
        self.lease_expires_at = lease_expires_at

    def is_lease_valid(self, now: float) -> bool:
        """Return whether the lease permits new intents, closures and dispatches."""
        return now < self.lease_expires_at

    def set_peers(
        self, generation: int, peers: Sequence[SessionId], now: float
    ) -> None:
        """Switch to a new journal set; older generations are ignored."""
        if self.replication.set_peers(generation, peers, self.attempts):
            for attempt in self.attempts.values():
                attempt.refusals.clear()
            self._advance_all(now)

    def add_slots(
        self,
        service: ServiceName,
        slots: Iterable[int],
        epoch: int,
        ready: bool,
        unavailable: bool = False,
    ) -> None:
        """Add slots owned by this session, and whether their takeover is done."""
        for slot in slots:
            known = self.slots.get((service, slot))
            if known is None or known.epoch <= epoch:
                self.slots[service, slot] = OwnedSlot(epoch, ready, unavailable)

    def remove_slots(
        self, service: ServiceName, slots: Iterable[int], now: float
    ) -> None:
        """Remove closing or lost slots and fail their undispatched attempts."""
        lost = {(service, slot) for slot in slots}
        for slot in lost:
            self.slots.pop(slot, None)
        for key, attempt in list(self.attempts.items()):
            if key[:2] in lost and attempt.phase in UNDISPATCHED_PHASES:
                self._fail(key, ResultCode.NOT_OWNER, now)

    def lookup(self, key: JournalKey, digest: bytes, now: float) -> JournalDecision:
        """Return what to do with a request, without changing anything.

        After ``WAIT`` the router looks up again when an event names the key or
        when the slot becomes ready, and at the deadline answers 3204 while the
        slot is not ready and 3201 otherwise.
        """
        slot = self.slots.get(key[:2])
        if slot is None:
            return JournalDecision(Decision.REFUSED, ResultCode.NOT_OWNER)
        if slot.unavailable:
            return JournalDecision(Decision.UNKNOWN, ResultCode.JOURNAL_UNAVAILABLE)
        if not slot.ready:
            return JournalDecision(Decision.WAIT, ResultCode.OK)
        record = self.store.get(key, now)
        if record is None:
            if self.store.is_full(now):
                return JournalDecision(Decision.REFUSED, ResultCode.JOURNAL_FULL)
            return JournalDecision(Decision.RUN, ResultCode.OK)
        if record.body_digest != digest:
            code = ResultCode.IDEMPOTENCY_KEY_MISMATCH
            return JournalDecision(Decision.MISMATCH, code)
        attempt = self.attempts.get(key)
        if attempt is not None and record.state < RecordState.RAN:
            return JournalDecision(Decision.WAIT, ResultCode.OK)
        return DECISION_BY_STATE[record.state]._replace(answer=record.answer)

    def begin(
        self, key: JournalKey, digest: bytes, deadline_at: float, now: float
    ) -> Result[None, Failure]:
        """Record the intent of an attempt; ``DECIDED`` or ``FAILED`` follows.

        Fails with the code of :meth:`lookup` if that is no longer ``RUN``.
        """
        return self._begin(key, digest, RecordState.INTENT, deadline_at, now)

    def close(
        self, key: JournalKey, digest: bytes, deadline_at: float, now: float
    ) -> Result[None, Failure]:
        """Record that the key never runs; ``CLOSED`` or ``FAILED`` follows.

        Only after ``CLOSED`` may a caller be told "not run" of the key: without
        a record an earlier attempt that was delayed on its way could run later.
        """
        return self._begin(key, digest, RecordState.CLOSED, deadline_at, now)

    def dispatch(self, key: JournalKey, now: float) -> Result[int, Failure]:
        """Return the epoch under which the request is sent at this moment.

        After a failure the attempt has ended and was not run. The deadline is
        checked here because a process that was frozen after the decision may
        resume when the record of the intent is no longer retained anywhere.
        """
        attempt = self.attempts.get(key)
        if attempt is None or attempt.phase is not AttemptPhase.DECIDED:
            return _not_run_failure(ResultCode.NOT_RUN)
        slot = self.slots.get(key[:2])
        if slot is None or slot.epoch != attempt.record.epoch:
            self._abandon(key, now)
            return _not_run_failure(ResultCode.NOT_OWNER)
        if attempt.deadline_at <= now:
            self._abandon(key, now)
            return _not_run_failure(ResultCode.DEADLINE_EXPIRED)
        if not self.is_lease_valid(now):
            self._abandon(key, now)
            return _not_run_failure(ResultCode.LEASE_EXPIRED)
        if not self._is_current(attempt, now):
            self._abandon(key, now)
            return _not_run_failure(ResultCode.STALE_EPOCH)
        attempt.phase = AttemptPhase.DISPATCHED
        return Ok(attempt.record.epoch)

    def conclude(
        self, key: JournalKey, state: RecordState, answer: bytes, now: float
    ) -> bool:
        """Record how a dispatched attempt ended; return whether to wait.

        ``INTENT`` stands for an unknown outcome and leaves the record as it is.
        After ``True`` the event ``CONCLUDED`` follows. A router that gets none
        in time still returns the answer of the upstream, which is correct.
        """
        attempt = self.attempts.get(key)
        if attempt is None or attempt.phase is not AttemptPhase.DISPATCHED:
            return False
        if state is RecordState.INTENT:
            del self.attempts[key]
            return False
        attempt.record = attempt.record._replace(state=state, answer=answer)
        attempt.phase = AttemptPhase.CONCLUDING
        if self.store.record_outcome(attempt.record, now).is_err():
            del self.attempts[key]
            return False
        attempt.record = self.store.get(key, now) or attempt.record
        self.replication.enqueue(key)
        self._advance(key, now)
        return True

    def abandon(self, key: JournalKey, now: float) -> bool:
        """End an undispatched attempt; return whether it was certainly not run."""
        attempt = self.attempts.get(key)
        if attempt is None or attempt.phase not in UNDISPATCHED_PHASES:
            return False
        self._abandon(key, now)
        return True

    def expire(self, now: float) -> None:
        """Fail the undecided attempts and closures whose deadline has passed."""
        for key, attempt in list(self.attempts.items()):
            if attempt.deadline_at > now:
                continue
            if attempt.phase is AttemptPhase.CONCLUDING:
                del self.attempts[key]
            elif attempt.phase is not AttemptPhase.DISPATCHED:
                self._fail(key, ResultCode.DEADLINE_EXPIRED, now)

    def adopt_records(
        self, records: Iterable[AgedRecord], epoch: int, now: float
    ) -> Result[tuple[JournalKey, ...], Failure]:
        """Store merged records under this owner's epoch and replicate them."""
        mine = [
            aged._replace(record=aged.record._replace(owner=self.session, epoch=epoch))
            for aged in records
        ]
        copied = self.store.import_records(mine, now)
        if isinstance(copied, Err):
            return copied
        for aged in mine:
            self.replication.enqueue(aged.record.key)
        return Ok(tuple(aged.record.key for aged in mine))

    def is_replicated(self, keys: Iterable[JournalKey]) -> bool:
        """Return whether a write quorum of the set holds all the keys."""
        return self.replication.is_replicated(keys)

    def take_batches(self, now: float) -> list[JournalBatch]:
        """Return what to send now, at most one batch per peer."""
        return self.replication.take_batches(now)

    def on_reply(self, batch: JournalBatch, reply: JournalReply, now: float) -> None:
        """Process the acknowledgements of a batch."""
        for record, code in self.replication.on_reply(batch, reply, now):
            if code is not ResultCode.OK:
                self._handle_refusal(batch.member, record, code, now)
        self._advance_all(now)

    def on_send_failed(self, batch: JournalBatch) -> None:
        """Requeue the records of a lost batch; the router controls the retry rate."""
        self.replication.on_send_failed(batch)

    def take_events(self) -> list[JournalEvent]:
        """Return and clear the events since the last call."""
        events, self.events = self.events, []
        return events

    def _begin(
        self,
        key: JournalKey,
        digest: bytes,
        state: RecordState,
        deadline_at: float,
        now: float,
    ) -> Result[None, Failure]:
        found = self.lookup(key, digest, now)
        if found.decision is not Decision.RUN:
            return _not_run_failure(found.code)
        if deadline_at <= now:
            return _not_run_failure(ResultCode.DEADLINE_EXPIRED)
        if not self.is_lease_valid(now):
            return _not_run_failure(ResultCode.LEASE_EXPIRED)
        known = self.store.get(key, now)
        number = self._next_attempt_number(0 if known is None else known.attempt)
        epoch = self.slots[key[:2]].epoch
        retention_s = self.retention_s_by_service.get(key.service, RETENTION_S)
        intent = Intent(*key, digest, epoch, self.session, number, retention_s)
        record = record_of(intent)
        record = record._replace(state=state)
        recorded = self.store.record_outcome(record, now)
        if isinstance(recorded, Err):
            return recorded
        phase = (
            AttemptPhase.CLOSING
            if state is RecordState.CLOSED
            else AttemptPhase.RECORDING
        )
        self.attempts[key] = Attempt(phase, record, deadline_at)
        self.replication.enqueue(key)
        self._advance(key, now)
        return Ok(None)

    def _handle_refusal(
        self, member: SessionId, record: Record, code: ResultCode, now: float
    ) -> None:
        attempt = self.attempts.get(record.key)
        if attempt is None or record_version(attempt.record) != record_version(record):
            return
        if attempt.phase not in {AttemptPhase.RECORDING, AttemptPhase.CLOSING}:
            return
        attempt.refusals.add(member)
        sealed = code is ResultCode.STALE_EPOCH
        if sealed or not self.replication.can_reach_quorum(len(attempt.refusals)):
            self._fail(record.key, code, now)

    def _advance_all(self, now: float) -> None:
        for key, attempt in list(self.attempts.items()):
            if attempt.phase not in {AttemptPhase.RECORDING, AttemptPhase.CLOSING}:
                self._advance(key, now)
            elif attempt.deadline_at <= now:
                self._fail(key, ResultCode.DEADLINE_EXPIRED, now)
            elif not self.is_lease_valid(now):
                self._fail(key, ResultCode.LEASE_EXPIRED, now)
            else:
                self._advance(key, now)

    def _advance(self, key: JournalKey, now: float) -> None:
        attempt = self.attempts[key]
        if attempt.phase not in QUORUM_TRANSITIONS or not self.is_replicated((key,)):
            return
        if not self._is_current(attempt, now):
            self._end_superseded(key, attempt, now)
            return
        phase, event = QUORUM_TRANSITIONS[attempt.phase]
        if phase is None:
            del self.attempts[key]
        else:
            attempt.phase = phase
        self.events.append(JournalEvent(event, key, ResultCode.OK))

    def _is_current(self, attempt: Attempt, now: float) -> bool:
        """Return whether the attempt is still the current one in the local store.

        It is not if a newer owner has sealed the slot here or has recorded
        the key here, since this host may be a peer of the newer owner.
        """
        if self.store.is_sealed(attempt.record):
            return False
        return self.store.get(attempt.record.key, now) == attempt.record

    def _end_superseded(self, key: JournalKey, attempt: Attempt, now: float) -> None:
        if attempt.phase is AttemptPhase.CONCLUDING:
            del self.attempts[key]
            event = JournalEvent(EventKind.CONCLUDED, key, ResultCode.STALE_EPOCH)
            self.events.append(event)
        else:
            self._fail(key, ResultCode.STALE_EPOCH, now)

    def _next_attempt_number(self, known: int) -> int:
        """Return a number that this session has used for no other attempt.

        Numbers per key would restart after a record has expired, and a
        delayed outcome of the expired attempt would then beat the new intent.
        """
        self.last_attempt_number = max(self.last_attempt_number, known) + 1
        return self.last_attempt_number

    def _fail(self, key: JournalKey, code: ResultCode, now: float) -> None:
        self._abandon(key, now)
        self.events.append(JournalEvent(EventKind.FAILED, key, code))

    def _abandon(self, key: JournalKey, now: float) -> None:
        """Replace an undispatched intent, or an undecided closure, by NOT_RUN.

        A closure needs a higher attempt number to be replaced, because it has
        precedence over NOT_RUN of the same attempt.
        """
        record = self.attempts.pop(key).record
        number = record.attempt
        if record.state is RecordState.CLOSED:
            number = self._next_attempt_number(number)
        record = record._replace(state=RecordState.NOT_RUN, attempt=number)
        if self.store.record_outcome(record, now).is_ok():
            self.replication.enqueue(key)


def _not_run_failure(code: ResultCode) -> Err[Failure]:
    return Err(Failure(code, "the attempt was not run"))
