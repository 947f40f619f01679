"""Maps the result of an exchange with an upstream or router to the caller's outcome."""

from __future__ import annotations

from enum import Enum
from enum import auto
from typing import NamedTuple

from sassafraswharf.codes import ResultCode


class ExchangeResult(Enum):
    """How an exchange ended, as the sender observed it."""

    NOTHING_SENT = auto()
    CONNECTION_REFUSED = auto()
    CANCELLED_BEFORE_SEND = auto()
    ANSWERED = auto()
    ANSWERED_NOT_RUN = auto()
    CONNECTION_LOST = auto()
    CUT_SHORT = auto()
    TOO_LARGE = auto()
    TIMED_OUT = auto()
    CANCELLED = auto()


class OutcomeKind(Enum):
    """Whether a request was answered, was not run or may have run."""

    ANSWER = auto()
    NOT_RUN = auto()
    MAY_HAVE_RUN = auto()


class Outcome(NamedTuple):
    """The kind and code for the caller, and whether the upstream failed."""

    kind: OutcomeKind
    code: ResultCode
    upstream_failed: bool


_NOT_RUN = OutcomeKind.NOT_RUN
_MAY_HAVE_RUN = OutcomeKind.MAY_HAVE_RUN

# Once a byte has been sent it may have reached the upstream, so every later
# failure is MAY_HAVE_RUN unless a complete answer of the upstream says otherwise.
OUTCOMES: dict[ExchangeResult, Outcome] = {
    ExchangeResult.NOTHING_SENT: Outcome(_NOT_RUN, ResultCode.NOT_RUN, False),
    ExchangeResult.CONNECTION_REFUSED: Outcome(_NOT_RUN, ResultCode.NO_UPSTREAM, True),
    ExchangeResult.CANCELLED_BEFORE_SEND: Outcome(_NOT_RUN, ResultCode.NOT_RUN, False),
    ExchangeResult.ANSWERED: Outcome(OutcomeKind.ANSWER, ResultCode.OK, False),
    ExchangeResult.ANSWERED_NOT_RUN: Outcome(_NOT_RUN, ResultCode.NOT_RUN, False),
    ExchangeResult.CONNECTION_LOST: Outcome(
        _MAY_HAVE_RUN, ResultCode.OUTCOME_UNKNOWN, True
    ),
    ExchangeResult.CUT_SHORT: Outcome(
        _MAY_HAVE_RUN, ResultCode.ANSWER_INCOMPLETE, True
    ),
    ExchangeResult.TOO_LARGE: Outcome(
        _MAY_HAVE_RUN, ResultCode.ANSWER_INCOMPLETE, False
    ),
    ExchangeResult.TIMED_OUT: Outcome(_MAY_HAVE_RUN, ResultCode.UPSTREAM_TIMEOUT, True),
    ExchangeResult.CANCELLED: Outcome(_MAY_HAVE_RUN, ResultCode.OUTCOME_UNKNOWN, False),
}

NOT_RUN_STATUSES = frozenset({409, 503})


def classify_answer(
    status: int, not_run_header: bool, complete: bool
) -> ExchangeResult:
    """Return the result of an exchange whose status line has arrived."""
    if not complete:
        return ExchangeResult.CUT_SHORT
    if not_run_header and status in NOT_RUN_STATUSES:
        return ExchangeResult.ANSWERED_NOT_RUN
    return ExchangeResult.ANSWERED


def may_retry(outcome: Outcome, repeatable: bool) -> bool:
    """Return whether the request can be retried safely.

    A request that is not repeatable is retried only if the first attempt was
    certainly not run.
    """
    if outcome.kind is OutcomeKind.ANSWER:
        return False
    return repeatable or outcome.kind is OutcomeKind.NOT_RUN
