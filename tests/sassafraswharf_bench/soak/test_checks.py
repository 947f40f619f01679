"""Tests that each soak check detects violations and accepts permitted behaviour."""

from __future__ import annotations

from typing import Any

import pytest

from sassafraswharf_bench.soak.checks import check
from sassafraswharf_bench.soak.ledger import Change
from sassafraswharf_bench.soak.ledger import ConfigurationRead
from sassafraswharf_bench.soak.ledger import Exchange
from sassafraswharf_bench.soak.ledger import HoldPeriod
from sassafraswharf_bench.soak.ledger import Leave
from sassafraswharf_bench.soak.ledger import Ledger
from sassafraswharf_bench.soak.ledger import RolloutProbe
from sassafraswharf_bench.soak.ledger import RouteProbe
from sassafraswharf_bench.soak.ledger import RunRecord
from sassafraswharf_bench.soak.ledger import Signal
from sassafraswharf_bench.soak.ledger import booking_body
from sassafraswharf_bench.soak.upstream import answer_body


SENT_AT = 100.0
REQUEST_ID = "b1"
COMPLETE_BODY = answer_body(REQUEST_ID, booking_body(REQUEST_ID))
UPSTREAM = "i-1"
ROUTER = "side-0"
OTHER_ROUTER = "side-1"
ROUTE = "extra-1"
CONTROL_KILL = [
    Signal("core-0", "kill", SENT_AT + 0.2),
    Signal("core-0", "start", SENT_AT + 1.0),
]
LOOKUP_FIELDS = {"kind": "lookup", "target": "/diary/1"}


def exchange(**fields: Any) -> Exchange:
    defaults: dict[str, Any] = {
        "request_id": REQUEST_ID,
        "kind": "booking",
        "host": ROUTER,
        "target": "/book/1",
        "kept": True,
        "sent_at": SENT_AT,
        "ended_at": SENT_AT + 0.5,
        "deadline_s": 4.0,
        "outcome": "answered",
        "status": 200,
        "signature": UPSTREAM,
        "answer_id": REQUEST_ID,
        "body": COMPLETE_BODY,
    }
    return Exchange(**{**defaults, **fields})


def cut_exchange(**fields: Any) -> Exchange:
    empty = {"status": 0, "signature": "", "answer_id": "", "body": b""}
    return exchange(outcome="cut", **empty, **fields)


def refused_exchange(status: int, **fields: Any) -> Exchange:
    return exchange(status=status, signature="", body=b"", **fields)


def run(**fields: Any) -> RunRecord:
    defaults: dict[str, Any] = {
        "request_id": REQUEST_ID,
        "instance": UPSTREAM,
        "host": ROUTER,
        "service": "booking",
        "key": 0,
        "target": "/book/1",
        "begun_at": SENT_AT + 0.1,
        "ended_at": SENT_AT + 0.4,
        "result": "whole",
        "body": booking_body(REQUEST_ID),
    }
    return RunRecord(**{**defaults, **fields})


def lookup_run(**fields: Any) -> RunRecord:
    return run(target=LOOKUP_FIELDS["target"], body=b"", **fields)


def document(version: int, *routes: str, timeout: str = "5s") -> dict[str, Any]:
    return {
        "version": f"{version:08x}",
        "routes": [{"name": name, "timeout": timeout} for name in routes],
        "services": [],
    }


def change(version: int, base: int, status: int = 200, at: float = SENT_AT) -> Change:
    return Change(version, base, status, at, at + 0.1, document(version))


def added_route(version: int) -> Change:
    """Return an acknowledged change that adds a route."""
    added = document(version, ROUTE)
    return change(version, version - 1)._replace(document=added)


def rollout(version: int, after_s: float, status: int = 404) -> RolloutProbe:
    """Return a probe of an added route, some seconds after its acknowledgement."""
    return RolloutProbe(version, ROUTER, ROUTE, SENT_AT + 0.1 + after_s, status)


def read(
    version: int, at: float = SENT_AT + 9.0, *routes: str, timeout: str = "5s"
) -> ConfigurationRead:
    found = document(version, *routes, timeout=timeout)
    return ConfigurationRead("core-0", at, version, found)


def ledger_of(*records: object, final: ConfigurationRead | None = None) -> Ledger:
    ledger = Ledger()
    lists = {
        Exchange: ledger.exchanges,
        RunRecord: ledger.runs,
        HoldPeriod: ledger.holds,
        Leave: ledger.leaves,
        Signal: ledger.signals,
        Change: ledger.changes,
        ConfigurationRead: ledger.reads,
        RouteProbe: ledger.probes,
        RolloutProbe: ledger.rollouts,
    }
    for record in records:
        lists[type(record)].append(record)  # type: ignore[index]
    ledger.final = final or read(9)
    return ledger


def hold(instance: str, since: float, until: float, fence: int = 1) -> HoldPeriod:
    host = ROUTER if instance == UPSTREAM else OTHER_ROUTER
    return HoldPeriod(instance, host, 0, 9, fence, since, until)


TERM_SIGNAL = Signal(ROUTER, "term", SENT_AT - 1.0)
ABANDONED_RUN = run(result="given_up")

VIOLATIONS = {
    "a success without a signature": ("MIXED", [run(), exchange(signature="")]),
    "an answer that is not whole": (
        "MIXED",
        [run(), exchange(body=COMPLETE_BODY[:-1])],
    ),
    "the answer of another request": ("MIXED", [run(), exchange(answer_id="b2")]),
    "an answer of nobody": ("MIXED", [exchange()]),
    "a failure in an upstream's name": ("MIXED", [run(), exchange(status=500)]),
    "bytes that are no answer": ("MIXED", [cut_exchange()._replace(outcome="garbled")]),
    "an answer without a request": (
        "MIXED",
        [exchange(outcome="stray", body=b"HTTP/1.1 200 OK")],
    ),
    "a booking that runs twice": (
        "TWICE",
        [run(), run(host=OTHER_ROUTER, instance="i-2"), exchange()],
    ),
    "a request that nobody sent": ("UNASKED", [run()]),
    "a run with another body": ("UNASKED", [run(body=b"x"), exchange()]),
    "a run with another target": ("UNASKED", [run(target="/book/2"), exchange()]),
    "a booking that is refused and has run": (
        "REFUSED",
        [run(), refused_exchange(503)],
    ),
    "a booking that is refused and runs later": (
        "REFUSED",
        [run(begun_at=SENT_AT + 9.0, ended_at=SENT_AT + 9.1), refused_exchange(429)],
    ),
    "a lookup that is refused and has run": (
        "REFUSED_LOOKUP",
        [lookup_run(), refused_exchange(503, **LOOKUP_FIELDS)],
    ),
    "many requests that are denied": (
        "DENIED",
        [refused_exchange(404, request_id=f"d{number}") for number in range(9)],
    ),
    "a run whose connection ends during a stop": (
        "LOST",
        [TERM_SIGNAL, ABANDONED_RUN, cut_exchange()],
    ),
    "a run behind another request of its connection": (
        "LOST",
        [TERM_SIGNAL, ABANDONED_RUN, cut_exchange()._replace(outcome="unanswered")],
    ),
    "a request that was read and is not passed on": (
        "LOST",
        [TERM_SIGNAL, cut_exchange()],
    ),
    "a run that is broken off and answered": (
        "LOST",
        [
            Signal(OTHER_ROUTER, "term", SENT_AT - 1.0),
            run(host=OTHER_ROUTER, result="given_up"),
            refused_exchange(502),
        ],
    ),
    "a run that is cut late in a stop and was sent late": (
        "LOST",
        [Signal(ROUTER, "term", SENT_AT - 5.0), ABANDONED_RUN, cut_exchange()],
    ),
    "a run that is cut after a hangup": (
        "LOST",
        [Signal(ROUTER, "hangup", SENT_AT + 0.2), ABANDONED_RUN, cut_exchange()],
    ),
    "many cut requests beside planned work": (
        "LOST",
        [lookup_run(request_id=f"c{one}", result="given_up") for one in range(4)]
        + [cut_exchange(request_id=f"c{one}", **LOOKUP_FIELDS) for one in range(4)],
    ),
    "a process that ends by itself": ("FAULT", [Signal(ROUTER, "ended", SENT_AT)]),
    "two holders for long": (
        "OWNER",
        [hold("i-1", 1.0, 5.0), hold("i-2", 4.0, 9.0, 2)],
    ),
    "two holders that both use the key": (
        "OWNER",
        [
            hold("i-1", 99.0, 100.3),
            hold("i-2", 100.0, 109.0, 2),
            lookup_run(),
            lookup_run(instance="i-2", host=OTHER_ROUTER, begun_at=SENT_AT + 0.2),
            exchange(body=answer_body(REQUEST_ID, b""), **LOOKUP_FIELDS),
        ],
    ),
    "a fence that is not higher": (
        "OWNER",
        [hold("i-1", 1.0, 2.0), hold("i-2", 4.0, 9.0)],
    ),
    "work for an upstream that has left": (
        "DRAIN",
        [Leave(UPSTREAM, SENT_AT - 2.0), run(), exchange()],
    ),
    "two acknowledged changes on one version": (
        "CONFIG",
        [change(8, 7), change(9, 7)],
    ),
    "a read that is too old": ("CONFIG", [change(8, 7), read(7, SENT_AT + 2.2)]),
    "a refused change in force": ("CONFIG", [change(8, 7, 412), read(8)]),
    "a read that is not what was sent": ("CONFIG", [change(8, 7), read(8, 109.0, "x")]),
    "a removed route at the end": ("CONFIG", [RouteProbe(ROUTER, "extra-1", 200)]),
    "an added route that is late": ("CONFIG", [added_route(8), rollout(8, 2.0)]),
    "an added route that is late for all": (
        "CONFIG",
        [*CONTROL_KILL, added_route(8), rollout(8, 7.0)],
    ),
    "an added route behind a link that was harmed long ago": (
        "CONFIG",
        [
            Signal("core-0", "harm", SENT_AT - 6.0),
            Signal("core-0", "heal", SENT_AT - 3.5),
            added_route(8),
            rollout(8, 2.0),
        ],
    ),
}

ALLOWED = {
    "a whole answer": [run(), exchange()],
    "a refusal of what has not run": [refused_exchange(503)],
    "an answer to an idle connection": [
        exchange(outcome="stray", body=b"HTTP/1.1 408 Request Timeout")
    ],
    "a lookup that runs twice": [
        lookup_run(result="given_up"),
        lookup_run(host=OTHER_ROUTER),
        exchange(body=answer_body(REQUEST_ID, b""), **LOOKUP_FIELDS),
    ],
    "a request that crosses the close": [
        TERM_SIGNAL,
        cut_exchange(ended_at=SENT_AT + 0.1),
    ],
    "an upstream that breaks off": [TERM_SIGNAL, run(result="broken"), cut_exchange()],
    "an end at the deadline": [
        TERM_SIGNAL,
        ABANDONED_RUN,
        cut_exchange(ended_at=SENT_AT + 4.0),
    ],
    "a kill before a stop": [
        TERM_SIGNAL,
        Signal(ROUTER, "kill", 98.0),
        ABANDONED_RUN,
        cut_exchange(),
    ],
    "an early request at work late in a stop": [
        Signal(ROUTER, "term", SENT_AT - 2.5),
        run(ended_at=SENT_AT + 3.5, result="given_up"),
        cut_exchange(ended_at=SENT_AT + 3.5),
    ],
    "a cut of a router that was frozen": [
        Signal(ROUTER, "freeze", SENT_AT - 1.0),
        Signal(ROUTER, "thaw", SENT_AT),
        ABANDONED_RUN,
        cut_exchange(),
    ],
    "a run behind a harmed link": [
        TERM_SIGNAL,
        Signal(OTHER_ROUTER, "harm", SENT_AT - 0.5),
        Signal(OTHER_ROUTER, "heal", SENT_AT + 0.3),
        run(host=OTHER_ROUTER, result="given_up"),
        cut_exchange(),
    ],
    "holders one after the other": [hold("i-1", 1.0, 4.0), hold("i-2", 4.0, 9.0, 2)],
    "a grant right after a thaw": [
        Signal(OTHER_ROUTER, "freeze", 2.0),
        Signal(OTHER_ROUTER, "thaw", 3.9),
        hold("i-1", 1.0, 5.0),
        hold("i-2", 4.0, 9.0, 2),
    ],
    "work soon after an upstream has left": [
        Leave(UPSTREAM, SENT_AT - 1.0),
        run(),
        exchange(),
    ],
    "work after a leave while a control host is away": [
        Signal("core-0", "kill", SENT_AT - 3.5),
        Signal("core-0", "start", SENT_AT - 2.5),
        Leave(UPSTREAM, SENT_AT - 2.0),
        run(),
        exchange(),
    ],
    "a lost race": [change(8, 7, 412), change(9, 7)],
    "an old read right after a change": [change(8, 7), read(7, SENT_AT + 2.0)],
    "an added route at the end": [RouteProbe(ROUTER, "extra-1", 404)],
    "an added route in time": [added_route(8), rollout(8, 2.0, 200)],
    "an added route that is refused for now": [added_route(8), rollout(8, 2.0, 503)],
    "an added route that was removed again": [
        added_route(8),
        change(9, 8, at=SENT_AT + 1.0),
        rollout(8, 2.0),
    ],
    "an added route while a control host is away": [
        *CONTROL_KILL,
        added_route(8),
        rollout(8, 2.0),
    ],
    "an added route at a router that was frozen": [
        Signal(ROUTER, "freeze", SENT_AT),
        Signal(ROUTER, "thaw", SENT_AT + 1.0),
        added_route(8),
        rollout(8, 2.0),
    ],
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_a_violation_is_noticed(name: str) -> None:
    """Guards against a soak check that does not detect its violation."""
    rule, records = VIOLATIONS[name]
    assert {found.rule for found in check(ledger_of(*records))} == {rule}


@pytest.mark.parametrize("name", ALLOWED)
def test_what_is_allowed_is_passed_over(name: str) -> None:
    """Guards against a soak check that reports permitted behaviour."""
    assert check(ledger_of(*ALLOWED[name])) == []


@pytest.mark.parametrize(
    ("final", "is_recovered", "rule"),
    [(read(7), True, "CONFIG"), (None, True, "CONFIG"), (read(9), False, "RECOVER")],
)
def test_the_end_of_a_run_is_judged(
    final: ConfigurationRead | None, is_recovered: bool, rule: str
) -> None:
    """Guards against an acknowledged change or a service that is lost at the end."""
    ledger = ledger_of(change(9, 8))
    ledger.final = final
    ledger.is_recovered = is_recovered
    assert [found.rule for found in check(ledger)] == [rule]
