"""Checks for requests lost around planned stops, and for unexpected exits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf_bench.soak.disturbances import UNPLANNED
from sassafraswharf_bench.soak.disturbances import Disturbances
from sassafraswharf_bench.soak.violation import Violation


if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafraswharf_bench.soak.ledger import Exchange
    from sassafraswharf_bench.soak.ledger import Ledger
    from sassafraswharf_bench.soak.ledger import RunRecord


STOP_GRACE_S: Final = 6.0
GRACE_MARGIN_S: Final = 1.0
READ_DELAY_S: Final = 0.2
"""A router has read a request that was sent this long before its connection ends."""
LATE_WORK_AFTER_S: Final = STOP_GRACE_S * 5 / 6
"""Work that is still running this late in the grace period may be aborted."""
EARLY_REQUEST_WITHIN_S: Final = 3.0
RELOAD_WINDOW_S: Final = 2.0
"""Changed settings are in effect this long after a SIGHUP."""
ALLOWED_LOSSES: Final = 3
"""Number of requests that may be lost without a planned stop or reload."""
INTACT_RESULTS: Final = frozenset({"whole", "given_up"})


class Loss(NamedTuple):
    """A request that a router read or an upstream received, but that got no answer."""

    exchange: Exchange
    runs: list[RunRecord]
    text: str


def check_losses(ledger: Ledger) -> Iterator[Violation]:
    """Yield requests lost in a planned stop or reload, and too many other losses."""
    disturbances = Disturbances(ledger)
    unplanned = []
    for loss in find_losses(ledger):
        exchange = loss.exchange
        if planned := find_planned_cause(loss, disturbances):
            text = f"{loss.text} at {exchange.host}, {planned}"
            yield Violation("LOST", exchange.request_id, text)
            continue
        first, last = exchange.sent_at, exchange.ended_at
        hosts = {exchange.host, *(run.host for run in loss.runs)}
        is_cut = exchange.kept and loss.runs and exchange.outcome != "answered"
        if is_cut and all(disturbances.is_connected(one, first, last) for one in hosts):
            unplanned.append(loss)
    for loss in unplanned[ALLOWED_LOSSES:]:
        text = f"{loss.text} at {loss.exchange.host}, beside planned work"
        yield Violation("LOST", loss.exchange.request_id, text)


def find_losses(ledger: Ledger) -> Iterator[Loss]:
    """Yield requests left without an answer although their upstream was intact."""
    all_runs = ledger.runs_by_id()
    for exchange in ledger.exchanges:
        runs = all_runs[exchange.request_id]
        took_s = exchange.ended_at - exchange.sent_at
        if took_s >= exchange.deadline_s or any(
            run.result not in INTACT_RESULTS for run in runs
        ):
            continue
        text = describe_loss(exchange, runs, took_s)
        if text is not None:
            yield Loss(exchange, runs, text)


def describe_loss(
    exchange: Exchange, runs: list[RunRecord], took_s: float
) -> str | None:
    """Return how a request was lost, ``None`` if it wasn't.

    ``unanswered`` requests were pipelined behind another one on their connection.
    """
    places = [(run.host, run.result) for run in runs]
    if exchange.outcome in {"cut", "unanswered"} and runs:
        return f"passed on to {places}, connection ended after {took_s:.3f} s"
    if exchange.outcome == "cut" and took_s > READ_DELAY_S:
        return f"not passed on, connection ended after {took_s:.3f} s"
    is_broken_off = any(run.result == "given_up" for run in runs)
    if exchange.outcome == "answered" and exchange.status >= 500 and is_broken_off:
        return f"passed on to {places}, answered with {exchange.status}"
    return None


def find_planned_cause(loss: Loss, disturbances: Disturbances) -> str | None:
    """Return the planned stop or reload that caused a loss, ``None`` if none did."""
    exchange = loss.exchange
    hosts = {exchange.host, *(run.host for run in loss.runs)}
    first, last = exchange.sent_at, exchange.ended_at
    if any(disturbances.is_disturbed(one, first, last, UNPLANNED) for one in hosts):
        return None
    # A router's own answer in place of the upstream's counts for any stopped host.
    where = hosts if exchange.outcome == "answered" else {exchange.host}
    for host in where:
        for at in disturbances.start_times(host, "term"):
            is_beside = at <= last <= at + STOP_GRACE_S + GRACE_MARGIN_S
            if is_beside and not is_work_late_in_grace(loss, at):
                sent = exchange.sent_at - at
                return f"sent {sent:+.3f} s, ended {last - at:+.3f} s from SIGTERM"
    for at in disturbances.start_times(exchange.host, "hangup"):
        if first <= at + RELOAD_WINDOW_S and at <= last <= at + RELOAD_WINDOW_S:
            return f"ended {last - at:.3f} s after SIGHUP"
    return None


def is_work_late_in_grace(loss: Loss, stopped_at: float) -> bool:
    """Return whether an early request was still running late in the grace period."""
    if loss.exchange.sent_at > stopped_at + EARLY_REQUEST_WITHIN_S:
        return False
    return any(
        run.begun_at <= stopped_at + STOP_GRACE_S
        and run.ended_at >= stopped_at + LATE_WORK_AFTER_S
        for run in loss.runs
    )


def check_processes(ledger: Ledger) -> Iterator[Violation]:
    """Yield unexpected process exits, and a fleet that did not recover."""
    for signal in ledger.signals:
        if signal.kind == "ended":
            yield Violation("FAULT", signal.host, "the process ended by itself")
    if not ledger.is_recovered:
        yield Violation(
            "RECOVER", "fleet", "requests are not served after the last fault"
        )
