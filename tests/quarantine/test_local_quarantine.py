from __future__ import annotations

import pytest

from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.quarantine.local_quarantine import ExecutionMode
from sassafraswharf.quarantine.local_quarantine import LocalQuarantine
from sassafraswharf.quarantine.local_quarantine import request_digest


UPSTREAM = UpstreamId("a")
CRASHING, HARMLESS = b"bad", b"good"


def quarantine_after_shared_crash() -> LocalQuarantine:
    watch = LocalQuarantine()
    watch.request_started(UPSTREAM, 1, CRASHING, alone=False)
    watch.request_started(UPSTREAM, 2, HARMLESS, alone=False)
    report = watch.upstream_died(UPSTREAM, 0.0)
    assert report == (UPSTREAM, (CRASHING, HARMLESS), False)
    return watch


def test_two_crashes_convict_and_one_solo_run_clears() -> None:
    """Guards against a third crash and a harmless request that stays suspect."""
    watch = quarantine_after_shared_crash()
    assert watch.execution_mode(CRASHING, 1.0) is ExecutionMode.ALONE
    watch.request_started(UPSTREAM, 3, HARMLESS, alone=True)
    assert watch.request_finished(UPSTREAM, 3) == HARMLESS
    assert watch.execution_mode(HARMLESS, 1.0) is ExecutionMode.NORMAL
    watch.request_started(UPSTREAM, 4, CRASHING, alone=True)
    assert watch.request_finished(UPSTREAM, 4, connection_lost=True) is None
    report = watch.upstream_died(UPSTREAM, 2.0)
    assert report == (UPSTREAM, (CRASHING,), True)
    assert watch.execution_mode(CRASHING, 3.0) is ExecutionMode.REFUSED
    assert watch.execution_mode(CRASHING, 700.0) is ExecutionMode.NORMAL


@pytest.mark.parametrize("alone", [True, False])
def test_lost_connection_of_a_living_upstream_convicts_nobody(alone: bool) -> None:
    """Guards against a conviction because of a network fault."""
    watch = LocalQuarantine()
    watch.request_started(UPSTREAM, 1, CRASHING, alone)
    watch.request_finished(UPSTREAM, 1, connection_lost=True)
    watch.upstream_survived(UPSTREAM, 1)
    assert watch.upstream_died(UPSTREAM, 0.0) is None


def test_solo_run_with_company_does_not_convict() -> None:
    """Guards against a conviction when another request ran at the same time."""
    watch = LocalQuarantine()
    watch.request_started(UPSTREAM, 1, CRASHING, alone=True)
    watch.request_started(UPSTREAM, 2, HARMLESS, alone=False)
    report = watch.upstream_died(UPSTREAM, 0.0)
    assert report is not None
    assert not report.alone
    assert watch.execution_mode(CRASHING, 1.0) is ExecutionMode.ALONE


def test_what_the_cell_spreads() -> None:
    """Guards against a router that ignores suspects and convictions of the cell."""
    watch = LocalQuarantine()
    watch.apply_cell_update([(HARMLESS, 10.0)], [(CRASHING, 10.0)], [], 0.0)
    assert watch.execution_mode(HARMLESS, 1.0) is ExecutionMode.ALONE
    assert watch.execution_mode(CRASHING, 1.0) is ExecutionMode.REFUSED
    watch.apply_cell_update([], [], [CRASHING, HARMLESS], 2.0)
    assert watch.execution_mode(CRASHING, 2.0) is ExecutionMode.NORMAL


def test_digest_separates_the_parts() -> None:
    """Guards against digest collisions of requests whose parts join alike."""
    splits = [("/a", "b", b""), ("/ab", "", b""), ("/a", "", b"b")]
    assert len({request_digest("POST", *split) for split in splits}) == 3
