"""Checks that no acknowledged configuration change is lost or reverted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from sassafraswharf_bench.soak.disturbances import Disturbances
from sassafraswharf_bench.soak.violation import Violation


if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafraswharf_bench.soak.ledger import Ledger
    from sassafraswharf_bench.soak.ledger import RolloutProbe


PROPAGATION_WINDOW_S: Final = 2.0
"""Reads sent this long after an acknowledgement must return the change."""
MAX_SKEW_S: Final = 5.0
"""While control hosts are disturbed, a change may be in force this much later."""
ACKNOWLEDGED: Final = 200
UNKNOWN_ROUTE: Final = 404
CONTENT: Final = ("routes", "services", "limits")


def check_changes(ledger: Ledger) -> Iterator[Violation]:
    """Yield acknowledged changes with the same base version."""
    by_base: dict[int, int] = {}
    for change in ledger.changes:
        if change.status != ACKNOWLEDGED:
            continue
        other = by_base.setdefault(change.base, change.version)
        if other != change.version:
            text = f"{other} and {change.version} build on {change.base}"
            yield Violation("CONFIG", "operator", f"both acknowledged: {text}")


def check_reads(ledger: Ledger) -> Iterator[Violation]:
    """Yield reads that return an outdated, a refused or an altered version."""
    acknowledged = [one for one in ledger.changes if one.status == ACKNOWLEDGED]
    sent = {one.version: one for one in ledger.changes}
    refused = {one.version for one in ledger.changes if 400 <= one.status < 500}
    reads = [*ledger.reads, *([ledger.final] if ledger.final else [])]
    for read in reads:
        slack_s = 0.0 if read is ledger.final else PROPAGATION_WINDOW_S
        due = [
            one.version
            for one in acknowledged
            if one.answered_at + slack_s < read.sent_at
        ]
        if due and read.version < max(due):
            text = f"version {read.version} after {max(due)} was acknowledged"
            yield Violation("CONFIG", read.host, text)
        if read.version in refused:
            yield Violation("CONFIG", read.host, f"refused {read.version} is in force")
        change = sent.get(read.version)
        if change is not None and content(change.document) != content(read.document):
            yield Violation("CONFIG", read.host, f"{read.version} isn't what was sent")
    if ledger.final is None:
        yield Violation(
            "CONFIG", "operator", "no control host returns the configuration"
        )


def content(document: dict[str, Any]) -> list[Any]:
    """Return the content of a configuration in a canonical order."""
    parts: list[Any] = []
    for name in CONTENT:
        part = document.get(name, {})
        if isinstance(part, list):
            part = sorted(part, key=lambda one: str(one["name"]))
        parts.append(part)
    return parts


def check_routes(ledger: Ledger) -> Iterator[Violation]:
    """Yield routers whose routes at the end differ from the configuration."""
    if ledger.final is None:
        return
    routes = {one["name"] for one in ledger.final.document["routes"]}
    for probe in ledger.probes:
        expected = 200 if probe.name in routes else 404
        if probe.status != expected:
            text = f"{probe.name} answers {probe.status}, {expected} is expected"
            yield Violation("CONFIG", probe.host, text)


def check_rollouts(ledger: Ledger) -> Iterator[Violation]:
    """Yield routers that don't know a route some time after its acknowledgement."""
    disturbances = Disturbances(ledger)
    answered_at = {one.version: one.answered_at for one in ledger.changes}
    for probe in ledger.rollouts:
        if probe.status != UNKNOWN_ROUTE or may_be_removed(ledger, probe):
            continue
        since, at = answered_at[probe.version], probe.sent_at
        if disturbances.is_disturbed(probe.host, at, at):
            continue
        is_late_for_all = at >= since + PROPAGATION_WINDOW_S + MAX_SKEW_S
        if is_late_for_all or disturbances.is_connected(probe.host, since, at):
            text = (
                f"{probe.name} of {probe.version} is unknown after {at - since:.1f} s"
            )
            yield Violation("CONFIG", probe.host, text)


def may_be_removed(ledger: Ledger, probe: RolloutProbe) -> bool:
    """Return whether a later change without the route was sent before the probe."""
    return any(
        all(one["name"] != probe.name for one in change.document["routes"])
        for change in ledger.changes
        if change.version > probe.version and change.sent_at <= probe.sent_at
    )
