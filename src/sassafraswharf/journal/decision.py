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

    ``not_run_key`` is true if no attempt with the key has run or ever will.
    """

    decision: Decision
    code: ResultCode
    answer: bytes = b""
    not_run_key: bool = False


class Phase(Enum):
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
ON_QUORUM: dict[Phase, tuple[Phase | None, EventKind]] = {
    Phase.RECORDING: (Phase.DECIDED, EventKind.DECIDED),
    Phase.CONCLUDING: (None, EventKind.CONCLUDED),
    Phase.CLOSING: (None, EventKind.CLOSED),
}

# Phases in which the attempt has certainly not been dispatched.
UNDISPATCHED = frozenset({Phase.RECORDING, Phase.DECIDED})

BY_STATE: dict[RecordState, JournalDecision] = {
    RecordState.INTENT: JournalDecision(Decision.UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
    RecordState.NOT_RUN: JournalDecision(Decision.RUN, ResultCode.OK),
    RecordState.CLOSED: JournalDecision(
        Decision.REFUSED, ResultCode.NOT_RUN, not_run_key=True
    ),
    RecordState.RAN: JournalDecision(Decision.UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
    RecordState.ANSWER: JournalDecision(Decision.REPLAY, ResultCode.OK),
}


class SlotState(NamedTuple):
    """The epoch under which a slot is owned, and whether its takeover is done.

    ``unavailable`` says that the takeover finds no quorum for now.
    """

    epoch: int
    ready: bool
    unavailable: bool
