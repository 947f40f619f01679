from __future__ import annotations

import pytest

from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import ExchangeResult
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.requests.outcome import classify_answer
from sassafraswharf.requests.outcome import may_retry


NOT_SENT = {
    ExchangeResult.NOTHING_SENT,
    ExchangeResult.CONNECTION_REFUSED,
    ExchangeResult.CANCELLED_BEFORE_SEND,
}


@pytest.mark.parametrize("exchange", list(ExchangeResult))
def test_refusal_codes_only_where_nothing_ran(exchange: ExchangeResult) -> None:
    """Guards against 'not run' for a request that may have reached an upstream."""
    outcome = OUTCOMES[exchange]
    not_run = exchange in NOT_SENT or exchange is ExchangeResult.ANSWERED_NOT_RUN
    assert (outcome.kind is OutcomeKind.NOT_RUN) is not_run
    assert (3100 <= outcome.code < 3200) is not_run
    assert may_retry(outcome, repeatable=False) is not_run
    assert may_retry(outcome, repeatable=True) is (
        exchange is not ExchangeResult.ANSWERED
    )


@pytest.mark.parametrize(
    ("status", "header", "complete", "expected"),
    [
        (200, False, True, ExchangeResult.ANSWERED),
        (503, True, True, ExchangeResult.ANSWERED_NOT_RUN),
        (409, True, True, ExchangeResult.ANSWERED_NOT_RUN),
        (503, False, True, ExchangeResult.ANSWERED),
        (200, True, True, ExchangeResult.ANSWERED),
        (500, True, True, ExchangeResult.ANSWERED),
        (503, True, False, ExchangeResult.CUT_SHORT),
        (200, False, False, ExchangeResult.CUT_SHORT),
    ],
)
def test_exchange_of_answer(
    status: int, header: bool, complete: bool, expected: ExchangeResult
) -> None:
    """Guards against a plain 503, or half an answer, that counts as not run."""
    assert classify_answer(status, header, complete) is expected
