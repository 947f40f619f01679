"""Decisions, events and state transitions of the journal on the slot owner."""

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
    """The phase of an attempt of this process."""

    RECORDING = auto()
    DECIDED = auto()
    DISPATCHED = auto()
    CONCLUDING = auto()
    CLOSING = auto()


class EventKind(Enum):
    """The kind of a change that the router is notified of."""

    DECIDED = auto()
    """A write quorum holds the intent; the request may be dispatched."""

    FAILED = auto()
    """The intent can't reach a write quorum; the attempt was not run."""

    CONCLUDED = auto()
    """A write quorum holds the outcome, or with 4003 never will; the caller is
    answered."""

    CLOSED = auto()
    """A write quorum holds the closure; the caller may be told that the key was not
    run."""


class JournalEvent(NamedTuple):
    """A state change of a key, with the code for the caller."""

    kind: EventKind
    key: JournalKey
    code: ResultCode


# The next phase and the event once a write quorum has acknowledged, by the phase
# of the attempt. A next phase of ``None`` ends the attempt.
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

    ``unavailable`` says that the takeover currently has no read quorum.
    """

    epoch: int
    ready: bool
    unavailable: bool
