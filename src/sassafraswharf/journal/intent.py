"""Journal records and their precedence when two of them conflict.

msgspec reads the annotations at run time, so their names are imported at run
time as well.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from sassafraswharf.identifiers import ServiceName  # noqa: TC001
from sassafraswharf.identifiers import SessionId  # noqa: TC001


RETENTION_S = 600
"""The longest retention time, and the one of services that declare none."""


class RecordState(IntEnum):
    """The known state of an attempt."""

    INTENT = 0
    """The attempt may have been dispatched."""

    NOT_RUN = 1
    """The attempt was certainly not run; a resend may run."""

    CLOSED = 2
    """No attempt has run and none will: the refusal of the key is final."""

    RAN = 3
    """The attempt ran, but its answer was too large to keep."""

    ANSWER = 4
    """The attempt ran and its answer is kept."""


class JournalKey(NamedTuple):
    """The identity of a record: an idempotency key within a slot."""

    service: ServiceName
    slot: int
    idempotency_key: str


class Intent(NamedTuple):
    """The write-ahead record of an attempt that is about to be dispatched.

    ``attempt`` increases with each attempt of a session, for any key, and a key
    has a later attempt only after the previous one was certainly not run.
    ``body_digest`` covers everything that makes two requests the same one:
    method, path, query and body. ``retention_s`` goes with the record, so that all
    members keep it equally long whatever configuration they know.
    """

    service: ServiceName
    slot: int
    idempotency_key: str
    body_digest: bytes
    epoch: int
    owner: SessionId
    attempt: int
    retention_s: int = RETENTION_S


class Record(NamedTuple):
    """The newest state of a key as a member of a journal set holds it."""

    service: ServiceName
    slot: int
    idempotency_key: str
    body_digest: bytes
    epoch: int
    owner: SessionId
    attempt: int
    retention_s: int
    state: RecordState
    answer: bytes

    @property
    def local_retention_s(self) -> float:
        """How long a member keeps the record by its own clock.

        Clock rates may differ by 5%, and no host may drop a record before its
        retention time has passed on any other one.
        """
        return self.retention_s / 0.95

    @property
    def key(self) -> JournalKey:
        """The identity of the record."""
        return JournalKey(self.service, self.slot, self.idempotency_key)

    @property
    def precedence(self) -> tuple[RecordState, int, int, RecordState]:
        """The sort key for conflicting records of a key: the greater one wins.

        A record of an attempt that ran wins under any epoch. Otherwise the owner of
        the higher epoch decides, because it has merged a quorum of the lower
        one: what it did not find there was never dispatched. Within an epoch a
        later attempt implies that the earlier one did not run, and an outcome
        beats the intent of the same attempt.
        """
        ran = self.state if self.state >= RecordState.RAN else RecordState.INTENT
        return (ran, self.epoch, self.attempt, self.state)

    @property
    def size_bytes(self) -> int:
        """The size that is charged against the memory limit of a member."""
        text = len(self.service) + len(self.idempotency_key)
        return RECORD_OVERHEAD_BYTES + text + len(self.body_digest) + len(self.answer)


RECORD_OVERHEAD_BYTES = 670
"""Memory of the objects, dictionary and heap entries of one record in CPython."""


def record_of(intent: Intent) -> Record:
    """Return the record of an intent without an outcome."""
    return Record(*intent, state=RecordState.INTENT, answer=b"")
