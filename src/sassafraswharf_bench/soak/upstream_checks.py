"""Checks that each key has one owner and that departed upstreams get no requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf_bench.soak.disturbances import Disturbances
from sassafraswharf_bench.soak.violation import Violation


if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafraswharf_bench.soak.ledger import HoldPeriod
    from sassafraswharf_bench.soak.ledger import Ledger
    from sassafraswharf_bench.soak.ledger import RunRecord


DRAIN_S: Final = 2.0
RESUME_GRACE_S: Final = 0.3
"""Grants this soon after a router resumed or a link was restored are not checked."""
MAX_IDLE_OVERLAP_S: Final = 0.5
"""Two upstreams may hold a key this long unless both start requests for it."""


def check_owners(ledger: Ledger) -> Iterator[Violation]:
    """Yield keys with two owners, and grants whose fencing token isn't the highest."""
    disturbances = Disturbances(ledger)
    thaws = {
        host: [span.last for span in spans if span.kind in {"freeze", "harm"}]
        for host, spans in disturbances.spans.items()
    }
    periods = [
        period
        for period in sorted(ledger.holds, key=lambda one: one.since)
        if not any(
            0 <= period.since - at <= RESUME_GRACE_S
            for at in thaws.get(period.host, ())
        )
    ]
    for position, later in enumerate(periods):
        for earlier in periods[:position]:
            if earlier.instance == later.instance or not have_common_keys(
                earlier, later
            ):
                continue
            keys = f"{max(earlier.first, later.first)}-{min(earlier.last, later.last)}"
            if later.fence <= earlier.fence:
                text = f"{later} has no higher fence than {earlier}"
                yield Violation("OWNER", keys, text)
            if is_conflicting_overlap(earlier, later, ledger.runs):
                yield Violation("OWNER", keys, f"{earlier} beside {later}")


def have_common_keys(one: HoldPeriod, other: HoldPeriod) -> bool:
    """Return whether two periods have keys in common."""
    return one.first <= other.last and other.first <= one.last


def is_conflicting_overlap(
    earlier: HoldPeriod, later: HoldPeriod, runs: list[RunRecord]
) -> bool:
    """Return whether two upstreams hold the same keys too long, or both use them."""
    until = min(earlier.until, later.until)
    if until <= later.since:
        return False
    if until - later.since > MAX_IDLE_OVERLAP_S:
        return True
    first, last = max(earlier.first, later.first), min(earlier.last, later.last)
    users = {
        run.instance
        for run in runs
        if later.since <= run.begun_at <= until and first <= run.key <= last
    }
    return {earlier.instance, later.instance} <= users


def check_leaves(ledger: Ledger) -> Iterator[Violation]:
    """Yield requests that reach an upstream after its acknowledged departure."""
    disturbances = Disturbances(ledger)
    left_at = {one.instance: one.acknowledged_at for one in ledger.leaves}
    sent = {one.request_id: one for one in ledger.exchanges}
    for run in ledger.runs:
        exchange = sent.get(run.request_id)
        if run.instance not in left_at or exchange is None:
            continue
        after_s = run.begun_at - left_at[run.instance]
        hosts = (exchange.host, run.host)
        if after_s > DRAIN_S and all(
            disturbances.is_connected(host, run.begun_at, run.begun_at)
            for host in hosts
        ):
            text = f"reached {run.host} {after_s:.3f} s after it left, from {hosts[0]}"
            yield Violation("DRAIN", run.request_id, text)
