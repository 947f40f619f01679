"""Accounting of answers: outcomes, latencies and checks against the request."""

from __future__ import annotations

import json

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from hdrh.histogram import HdrHistogram

from sassafraswharf_bench.traffic.arrivals import CLASSES


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


COMPLETE = "complete"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
MAX_LATENCY_US = 600_000_000


class Reply(NamedTuple):
    """Result of one attempt; ``error`` is set if there was no complete answer."""

    status: int = 0
    code: str = ""
    not_run: str = ""
    body: bytes = b""
    error: str = ""


class Outcome(NamedTuple):
    """Result of a request as its caller knows it after the last attempt."""

    result: str
    code: str
    defects: tuple[str, ...] = ()


class Latencies(TypedDict):
    """Latencies in milliseconds from the scheduled start."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


def answer_defects(body: bytes, key: str, request_id: str) -> tuple[str, ...]:
    """Return how a complete answer differs from what its request expects."""
    try:
        answer = json.loads(body)
    except ValueError:
        return ("not_json",)
    if not isinstance(answer, dict):
        return ("not_an_object",)
    expected = {"key": key, "id": request_id}
    return tuple(
        f"wrong_{name}" for name, value in expected.items() if answer.get(name) != value
    )


def classify(replies: list[Reply], key: str, request_id: str) -> Outcome:
    """Return the outcome of a request from the replies to its attempts.

    The request is known not to have run only if the last refusal covers the
    idempotency key, or if each attempt was refused as not run.
    """
    last = replies[-1]
    code = last.error or last.code or f"http-{last.status}"
    if not last.error and last.status == 200:
        return Outcome(COMPLETE, code, answer_defects(last.body, key, request_id))
    refused = [not reply.error and _states_not_run(reply) for reply in replies]
    if refused[-1] and (last.not_run == "key" or all(refused)):
        return Outcome(NOT_RUN, code)
    return Outcome(UNKNOWN, code)


def _states_not_run(reply: Reply) -> bool:
    return reply.code.startswith("31") or reply.not_run != ""


def run_violations(
    outcomes: Mapping[str, str], runs: Iterable[Mapping[str, int]]
) -> list[str]:
    """Compare results per idempotency key with the upstreams' run counts.

    A key that ran twice violates at-most-once execution (P5), a key that ran
    although it was refused as not run violates the not-run guarantee (P4), and
    a completed key that never ran is a lost booking.
    """
    total: Counter[str] = Counter()
    for counts in runs:
        total.update(counts)
    violations = [f"{key} ran {total[key]} times" for key in total if total[key] > 1]
    for key, result in outcomes.items():
        if result == NOT_RUN and total[key]:
            violations.append(f"{key} was refused as not run but ran")
        if result == COMPLETE and not total[key]:
            violations.append(f"{key} was answered but never ran")
    return sorted(violations)


class ClassTally:
    """Outcomes and latencies of one class of requests."""

    def __init__(self) -> None:
        self.codes: Counter[str] = Counter()
        self.results: Counter[str] = Counter()
        self.defects: Counter[str] = Counter()
        self.complete = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.all = HdrHistogram(1, MAX_LATENCY_US, 3)

    def record(self, outcome: Outcome, latency_s: float) -> None:
        """Count an outcome with its latency from the scheduled start."""
        micros = min(MAX_LATENCY_US, max(1, round(latency_s * 1_000_000)))
        self.codes[outcome.code] += 1
        self.results[outcome.result] += 1
        self.defects.update(outcome.defects)
        self.all.record_value(micros)
        if outcome.result == COMPLETE:
            self.complete.record_value(micros)

    def report(self) -> dict[str, Any]:
        """Return the JSON content for this class."""
        return {
            "results": dict(self.results),
            "codes": dict(self.codes),
            "defects": dict(self.defects),
            "complete": summarize_latencies(self.complete),
            "all": summarize_latencies(self.all),
        }


def summarize_latencies(histogram: HdrHistogram) -> Latencies:
    """Return count, percentiles and maximum of a histogram of microseconds."""
    count = histogram.get_total_count()
    if not count:
        return Latencies(count=0, p50_ms=0.0, p99_ms=0.0, max_ms=0.0)
    return Latencies(
        count=count,
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        max_ms=histogram.get_max_value() / 1000,
    )


class Tally:
    """Accounting of a whole run."""

    def __init__(self) -> None:
        self.classes = {kind: ClassTally() for kind in CLASSES}
        self.not_sent = 0
        self.attempts = 0
        self.max_start_delay_s = 0.0
        self.results_by_key: dict[str, str] = {}

    def report(self) -> dict[str, Any]:
        """Return the JSON content.

        ``not_sent`` counts arrivals dropped at the limit of outstanding
        requests. A large ``max_start_delay_ms`` says that the load tool itself
        was too slow; its latencies then include its own delay.
        """
        return {
            "classes": {kind: tally.report() for kind, tally in self.classes.items()},
            "attempts": self.attempts,
            "not_sent": self.not_sent,
            "wrong_answers": sum(t.defects.total() for t in self.classes.values()),
            "max_start_delay_ms": round(self.max_start_delay_s * 1000, 3),
        }
