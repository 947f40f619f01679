"""Checks answers for origin, completeness and agreement with the upstream runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf_bench.soak.disturbances import Disturbances
from sassafraswharf_bench.soak.upstream import answer_body
from sassafraswharf_bench.soak.violation import Violation


if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafraswharf_bench.soak.ledger import Exchange
    from sassafraswharf_bench.soak.ledger import Ledger


NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that a request hasn't run and won't run."""
ALLOWED_DENIALS: Final = 5
REQUESTS_PER_ALLOWED_DENIAL: Final = 500
IDLE_TIMEOUT_ANSWER: Final = b"HTTP/1.1 408 "


def check_answers(ledger: Ledger) -> Iterator[Violation]:
    """Yield answers that are incomplete or belong to another request."""
    runs = ledger.runs_by_id()
    for exchange in ledger.exchanges:
        if exchange.outcome == "garbled":
            yield Violation(
                "MIXED", exchange.request_id, f"no answer: {exchange.body!r}"
            )
        is_stray = exchange.outcome == "stray"
        if is_stray and not exchange.body.startswith(IDLE_TIMEOUT_ANSWER):
            text = f"bytes without a request: {exchange.body[:200]!r}"
            yield Violation("MIXED", exchange.host, text)
        if exchange.outcome == "answered":
            instances = {run.instance for run in runs[exchange.request_id]}
            if (wrong := describe_violation(exchange, instances)) is not None:
                yield Violation("MIXED", exchange.request_id, wrong)


def describe_violation(exchange: Exchange, instances: set[str]) -> str | None:
    """Describe why an answer isn't the complete answer to its request, if it isn't."""
    is_success = 200 <= exchange.status < 300
    if not exchange.signature:
        return f"status {exchange.status} without a signature" if is_success else None
    if not is_success:
        return f"status {exchange.status} in the name of {exchange.signature}"
    if exchange.answer_id != exchange.request_id:
        return f"the answer to {exchange.answer_id}"
    if exchange.signature not in instances:
        return f"signed by {exchange.signature}, run by {sorted(instances)}"
    whole = answer_body(exchange.request_id, exchange.request_body())
    if exchange.body != whole:
        return f"{len(exchange.body)} bytes are not the {len(whole)} of the answer"
    return None


def check_runs(ledger: Ledger) -> Iterator[Violation]:
    """Yield bookings that ran twice, and runs that match no sent request."""
    sent = {one.request_id: one for one in ledger.exchanges}
    for request_id, runs in ledger.runs_by_id().items():
        if len(runs) > 1 and any(run.target.startswith("/book/") for run in runs):
            places = [(run.host, run.result) for run in runs]
            yield Violation("TWICE", request_id, f"ran at {places}")
        if request_id in ledger.probe_ids:
            continue
        exchange = sent.get(request_id)
        if exchange is None:
            yield Violation("UNASKED", request_id, f"ran at {runs[0].host}")
            continue
        for run in runs:
            asked = (exchange.target, exchange.request_body())
            if (run.target, run.body) != asked:
                text = f"ran as {run.target} with {run.body[:100]!r}"
                yield Violation("UNASKED", request_id, text)


def check_refusals(ledger: Ledger) -> Iterator[Violation]:
    """Yield requests that ran although their answer reports that they did not run.

    For repeatable requests the provider's rules leave this open, but its protocol
    gives the statuses the same meaning for all requests, so they are reported
    under separate rules.
    """
    runs = ledger.runs_by_id()
    for exchange in ledger.exchanges:
        if exchange.outcome != "answered" or exchange.status not in NOT_RUN_STATUSES:
            continue
        ran = [(run.host, run.result) for run in runs[exchange.request_id]]
        if ran:
            rule = "REFUSED" if exchange.kind == "booking" else "REFUSED_LOOKUP"
            text = f"status {exchange.status} at {exchange.host}, ran at {ran}"
            yield Violation(rule, exchange.request_id, text)


def check_denials(ledger: Ledger) -> Iterator[Violation]:
    """Yield denied valid requests in excess of the allowed number."""
    disturbances = Disturbances(ledger)
    denied = [
        one
        for one in ledger.exchanges
        if one.outcome == "answered"
        and 300 <= one.status < 500
        and not one.signature
        and one.status not in NOT_RUN_STATUSES
        and disturbances.is_connected(one.host, one.sent_at, one.ended_at)
    ]
    allowed = ALLOWED_DENIALS + len(ledger.exchanges) // REQUESTS_PER_ALLOWED_DENIAL
    for exchange in denied[allowed:]:
        text = f"status {exchange.status} at {exchange.host}"
        yield Violation("DENIED", exchange.request_id, text)
