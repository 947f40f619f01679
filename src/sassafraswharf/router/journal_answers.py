"""Answers that come from the journal instead of a run of the request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import msgspec

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.journal.decision import Decision
from sassafraswharf.journal.decision import JournalDecision
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.router.answers import Answer
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.upstream_runner import RunResult


if TYPE_CHECKING:
    from sassafraswharf.journal.intent import JournalKey
    from sassafraswharf.journal.journal_quorum import JournalQuorum


def result_from_decision(decision: JournalDecision) -> RunResult:
    """Return the result for a request that must not run now."""
    if decision.decision is Decision.REPLAY:
        answer = msgspec.msgpack.decode(decision.answer, type=Answer)
        return RunResult(answer, OutcomeKind.ANSWER)
    scope = "key" if decision.not_run_key else "attempt"
    answer = refusal(journal_failure(decision.code), scope)
    kind = OutcomeKind.NOT_RUN if answer.not_run else OutcomeKind.MAY_HAVE_RUN
    return RunResult(answer, kind)


REFUSAL_MESSAGES: Final = {
    ResultCode.OUTCOME_UNKNOWN: "an earlier attempt with this key may have run",
    ResultCode.JOURNAL_UNAVAILABLE: "the record of earlier attempts can't be read now",
    ResultCode.JOURNAL_FULL: "no room to record the request",
    ResultCode.IDEMPOTENCY_KEY_MISMATCH: "the key belongs to another request",
    ResultCode.DEADLINE_EXPIRED: "the intent was not recorded before the deadline",
}


def journal_failure(code: ResultCode) -> Failure:
    """Return the failure for the code of a journal decision."""
    return Failure(
        code, REFUSAL_MESSAGES.get(code, "the request was not run by this router")
    )


def refused_decision(code: ResultCode) -> JournalDecision:
    """Return the decision to refuse a request without a lookup in the journal."""
    return JournalDecision(Decision.REFUSED, code)


def wait_timed_out(quorum: JournalQuorum, key: JournalKey) -> JournalDecision:
    """Return the decision for a request whose deadline passed while it waited."""
    slot = quorum.slots.get((key.service, key.slot))
    ready = slot is not None and slot.ready
    code = ResultCode.OUTCOME_UNKNOWN if ready else ResultCode.JOURNAL_UNAVAILABLE
    return JournalDecision(Decision.UNKNOWN, code)
