"""What the owner's side of the journal decides and reports, as state tables."""

from __future__ import annotations

from enum import Enum
from enum import auto
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.journal.intent import JournalKey
from sassafraswharf.journal.intent import RecordState


class Decision(Enum):
    """What a router does with an at-most-once request that has arrived."""

    RUN = auto()
    REPLAY = auto()
    WAIT = auto()
    UNKNOWN = auto()
    MISMATCH = auto()
    REFUSED = auto()


class JournalDecision(NamedTuple):
    """A decision with its code; ``answer`` is set for ``REPLAY`` only.

    ``key_closed`` is true if no attempt with the key has run or ever will.
    """

    decision: Decision
    code: ResultCode
    answer: bytes = b""
    key_closed: bool = False


class AttemptPhase(Enum):
    """Where an attempt of this process is."""

    RECORDING = auto()
    DECIDED = auto()
    DISPATCHED = auto()
    CONCLUDING = auto()
    CLOSING = auto()


class EventKind(Enum):
    """What the router is told of a key."""

    DECIDED = auto()
    """The intent counts; the request may be dispatched."""

    FAILED = auto()
    """The intent can't count; the attempt was not run."""

    CONCLUDED = auto()
    """The outcome counts, or with 4003 never will; the caller is answered."""

    CLOSED = auto()
    """The closure counts; the caller may be told that the key was not run."""


class JournalEvent(NamedTuple):
    """Something that happened to a key, with the code for the caller."""

    kind: EventKind
    key: JournalKey
    code: ResultCode


# What a quorum of acknowledgements means, by the phase of the attempt. A phase
# of ``None`` ends the attempt.
QUORUM_TRANSITIONS: dict[AttemptPhase, tuple[AttemptPhase | None, EventKind]] = {
    AttemptPhase.RECORDING: (AttemptPhase.DECIDED, EventKind.DECIDED),
    AttemptPhase.CONCLUDING: (None, EventKind.CONCLUDED),
    AttemptPhase.CLOSING: (None, EventKind.CLOSED),
}

# Phases in which the attempt has certainly not been dispatched.
UNDISPATCHED_PHASES = frozenset({AttemptPhase.RECORDING, AttemptPhase.DECIDED})

DECISION_BY_STATE: dict[RecordState, JournalDecision] = {
    RecordState.INTENT: JournalDecision(Decision.UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
    RecordState.NOT_RUN: JournalDecision(Decision.RUN, ResultCode.OK),
    RecordState.CLOSED: JournalDecision(
        Decision.REFUSED, ResultCode.NOT_RUN, key_closed=True
    ),
    RecordState.RAN: JournalDecision(Decision.UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
    RecordState.ANSWER: JournalDecision(Decision.REPLAY, ResultCode.OK),
}


class OwnedSlot(NamedTuple):
    """The epoch under which a slot is owned, and whether its takeover is done.

    ``unavailable`` says that the takeover finds no quorum for now.
    """

    epoch: int
    ready: bool
    unavailable: bool
