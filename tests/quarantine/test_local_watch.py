from __future__ import annotations

import pytest

from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.quarantine.local_watch import LocalWatch
from sassafraswharf.quarantine.local_watch import Treatment
from sassafraswharf.quarantine.local_watch import request_digest


A = UpstreamId("a")
BAD, GOOD = b"bad", b"good"


def crashed_beside_another() -> LocalWatch:
    watch = LocalWatch()
    watch.started(A, 1, BAD, alone=False)
    watch.started(A, 2, GOOD, alone=False)
    report = watch.upstream_died(A, 0.0)
    assert report == (A, (BAD, GOOD), False)
    return watch


def test_two_crashes_convict_and_one_solo_run_clears() -> None:
    """Guards against a third crash, and against a neighbour that stays suspect."""
    watch = crashed_beside_another()
    assert watch.treatment(BAD, 1.0) is Treatment.ALONE
    watch.started(A, 3, GOOD, alone=True)
    assert watch.finished(A, 3) == GOOD
    assert watch.treatment(GOOD, 1.0) is Treatment.NORMAL
    watch.started(A, 4, BAD, alone=True)
    assert watch.finished(A, 4, crashed=True) is None
    report = watch.upstream_died(A, 2.0)
    assert report == (A, (BAD,), True)
    assert watch.treatment(BAD, 3.0) is Treatment.REFUSED
    assert watch.treatment(BAD, 700.0) is Treatment.NORMAL


@pytest.mark.parametrize("alone", [True, False])
def test_lost_connection_of_a_living_upstream_convicts_nobody(alone: bool) -> None:
    """Guards against a conviction for a network fault."""
    watch = LocalWatch()
    watch.started(A, 1, BAD, alone)
    watch.finished(A, 1, crashed=True)
    watch.upstream_lives(A, 1)
    assert watch.upstream_died(A, 0.0) is None


def test_solo_run_with_company_does_not_convict() -> None:
    """Guards against a conviction when something else ran as well."""
    watch = LocalWatch()
    watch.started(A, 1, BAD, alone=True)
    watch.started(A, 2, GOOD, alone=False)
    report = watch.upstream_died(A, 0.0)
    assert report is not None
    assert not report.alone
    assert watch.treatment(BAD, 1.0) is Treatment.ALONE


def test_what_the_cell_spreads() -> None:
    """Guards against a conviction that only one router knows."""
    watch = LocalWatch()
    watch.spread([(GOOD, 10.0)], [(BAD, 10.0)], [], 0.0)
    assert watch.treatment(GOOD, 1.0) is Treatment.ALONE
    assert watch.treatment(BAD, 1.0) is Treatment.REFUSED
    watch.spread([], [], [BAD, GOOD], 2.0)
    assert watch.treatment(BAD, 2.0) is Treatment.NORMAL


def test_digest_separates_the_parts() -> None:
    """Guards against two requests that share a digest by concatenation."""
    splits = [("/a", "b", b""), ("/ab", "", b""), ("/a", "", b"b")]
    assert len({request_digest("POST", *split) for split in splits}) == 3
