from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.quarantine.suspect_table import CONVICTION_S
from sassafraswharf.quarantine.suspect_table import ReportedCrash
from sassafraswharf.quarantine.suspect_table import SuspectTable


CRASHING = b"p"
HARMLESS = [b"a", b"b", b"c"]


def crash(number: int) -> ReportedCrash:
    return ReportedCrash("u", number)


@given(
    st.lists(
        st.tuples(st.sampled_from([CRASHING, *HARMLESS]), st.booleans(), st.booleans()),
        max_size=40,
    )
)
def test_two_crashes_convict_and_innocents_are_cleared(
    requests: list[tuple[bytes, bool, bool]],
) -> None:
    """Guards against more than two crashes and convicted harmless requests."""
    table = SuspectTable()
    crashes = 0
    for number, (digest, with_others, report_twice) in enumerate(requests):
        if digest in {c.digest for c in table.convictions()}:
            assert digest == CRASHING
            assert crashes == 2
            continue
        alone = digest in table.suspected() or not with_others
        running = [digest] if alone else [digest, *HARMLESS]
        if CRASHING in running:
            crashes += 1
            for _ in range(1 + report_twice):
                table.report_crash(crash(number), running, alone, 1.0)
        elif alone:
            table.clear(digest)
    assert crashes <= 2
    assert {c.digest for c in table.convictions()} == (
        {CRASHING} if crashes == 2 else set()
    )
    for digest in HARMLESS:
        table.clear(digest)
    assert not set(HARMLESS) & set(table.suspected())


@pytest.mark.parametrize(
    ("alone", "convicted"),
    [([True], 0), ([False, False], 0), ([False, True], 1), ([True, True], 1)],
)
def test_only_a_crash_alone_convicts(alone: list[bool], convicted: int) -> None:
    """Guards against a conviction for a crash that another request caused."""
    table = SuspectTable()
    for number, is_alone in enumerate(alone):
        digests = [CRASHING] if is_alone else [CRASHING, *HARMLESS]
        table.report_crash(crash(number), digests, is_alone, 5.0)
    assert len(table.convictions()) == convicted


def test_conviction_ends() -> None:
    """Guards against convictions that never expire or can't be released."""
    table = SuspectTable()
    for number in (1, 2):
        table.report_crash(crash(number), [CRASHING], True, 5.0)
    assert table.expire(5.0 + CONVICTION_S - 1) == []
    assert not table.clear(CRASHING)
    assert table.release(CRASHING)
    assert not table.release(CRASHING)
    assert table.suspected() == (CRASHING,)
    table.report_crash(crash(3), [CRASHING], True, 6.0)
    assert table.convictions() == ()
    table.report_crash(crash(4), [CRASHING], True, 7.0)
    assert table.expire(7.0 + CONVICTION_S) == [CRASHING]


@pytest.mark.parametrize(
    ("event", "is_free"),
    [("nothing", False), ("clear", True), ("crash", True), ("time", True)],
)
def test_one_session_runs_a_suspect_alone(event: str, is_free: bool) -> None:
    """Guards against two routers that run the same suspect at the same time."""
    table = SuspectTable()
    table.report_crash(ReportedCrash("u1", 1), [b"d"], False, 0.0)
    assert table.reserve_solo_run(b"d", 1, 10, 0.0)
    assert table.reserve_solo_run(b"d", 1, 10, 1.0)
    assert not table.reserve_solo_run(b"d", 2, 10, 2.0)
    assert table.reserve_solo_run(b"e", 2, 10, 2.0)
    if event == "clear":
        table.clear(b"d")
    if event == "crash":
        table.report_crash(ReportedCrash("u2", 1), [b"d"], False, 3.0)
    at = 11.0 if event == "time" else 3.0
    table.expire(at)
    assert table.reserve_solo_run(b"d", 2, 10, at) == is_free


def test_a_convicted_request_is_not_reserved() -> None:
    """Guards against a solo run of a convicted request."""
    table = SuspectTable()
    table.report_crash(ReportedCrash("u1", 1), [b"d"], False, 0.0)
    assert table.reserve_solo_run(b"d", 1, 10, 0.0)
    table.report_crash(ReportedCrash("u2", 1), [b"d"], True, 1.0)
    assert not table.reserve_solo_run(b"d", 1, 10, 1.0)
