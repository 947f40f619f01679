"""Tests the detection of requests that crash upstreams."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.crash_table import MAX_SUSPECTS
from sassafraswharf.fleet.crash_table import SUSPICION_S
from sassafraswharf.fleet.crash_table import CrashTable
from sassafraswharf.fleet.crash_table import checksum
from sassafraswharf.fleet.sync import CrashReport
from sassafraswharf.fleet.sync import Suspect
from sassafraswharf.fleet.values import Instance


POISON = b"p" * 16
LOOKUP = b"l" * 16


def crash(number: int, *digests: bytes) -> CrashReport:
    return CrashReport(Instance(f"i-{number}", number), digests)


@pytest.mark.parametrize(
    ("reports", "crashes"),
    [
        ([crash(1, POISON)], 1),
        ([crash(1, POISON), crash(1, POISON)], 1),
        ([crash(1, POISON), crash(2, POISON, LOOKUP), crash(3, POISON)], 3),
    ],
)
def test_a_crash_counts_once(reports: list[CrashReport], crashes: int) -> None:
    """Guards against counting the repeated reports of one crash as several."""
    table = CrashTable()
    for report in reports:
        table.on_reports([report], (), 1.0)
    assert dict(table.suspects(2.0))[POISON] == crashes


def test_an_answered_request_is_no_suspect() -> None:
    """Guards against a popular lookup that is refused after several crashes.

    It is running during most crashes, but other upstreams answer it.
    """
    table = CrashTable()
    table.on_reports([crash(1, POISON, LOOKUP)], (), 1.0)
    table.on_reports([], (LOOKUP,), 1.5)
    table.on_reports([crash(1, POISON, LOOKUP), crash(2, LOOKUP)], (), 2.0)
    assert table.suspects(2.0) == (Suspect(POISON, 1),)


def test_suspects_are_forgotten() -> None:
    """Guards against unbounded growth of the table and permanent refusals."""
    table = CrashTable()
    table.on_reports([crash(1, POISON), crash(2, POISON)], (), 1.0)
    for number in range(MAX_SUSPECTS + 10):
        table.on_reports([crash(9, number.to_bytes(16, "big"))], (), 1.0)
    suspects = table.suspects(1.0)
    assert len(suspects) == MAX_SUSPECTS
    assert Suspect(POISON, 2) in suspects
    assert table.suspects(1.1 + SUSPICION_S) == ()


def test_another_list_has_another_checksum() -> None:
    """Guards against a router that keeps an outdated list of suspects."""
    lists = [(), (Suspect(POISON, 1),), (Suspect(POISON, 2),), (Suspect(LOOKUP, 1),)]
    assert len({checksum(one) for one in lists}) == len(lists)
