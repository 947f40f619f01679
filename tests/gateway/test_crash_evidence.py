"""Attribution of upstream crashes to requests, and quarantine of requests."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.sync import Suspect
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.crash_evidence import QUARANTINE_CRASHES
from sassafraswharf.gateway.crash_evidence import REPORT_PERIOD_S
from sassafraswharf.gateway.crash_evidence import CrashEvidence
from sassafraswharf.gateway.crash_evidence import digest_of
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work


LIFE = Instance("i-1", 7)


def work(target: str = "/x", request_id: str = "r") -> Work:
    terms = Terms(1, False, 1.0, 2.0)
    return Work(request_id, "GET", target, (), b"", None, "s", "s", None, True, terms)


@pytest.mark.parametrize(
    ("answers_after", "reported"), [(False, {"/x", "/y"}), (True, set())]
)
def test_only_requests_lost_last_are_reported_with_a_crash(
    answers_after: bool, reported: set[str]
) -> None:
    """Guards against suspects from a connection reset without a crash."""
    evidence = CrashEvidence()
    evidence.on_lost(work("/x"))
    evidence.on_lost(work("/y"))
    if answers_after:
        evidence.on_answer()
    evidence.on_end(LIFE, 10.0)
    crashes, _ = evidence.report(10.0)
    found = {digest for crash in crashes for digest in crash.digests}
    assert found == {digest_of(work(target)) for target in reported}


def test_reports_are_repeated_for_a_while() -> None:
    """Guards against a crash that only the former leader received."""
    evidence = CrashEvidence()
    evidence.on_lost(work())
    evidence.on_end(LIFE, 10.0)
    assert evidence.report(11.0) == evidence.report(10.0 + REPORT_PERIOD_S)
    assert evidence.report(11.0 + REPORT_PERIOD_S) == ((), ())


@pytest.mark.parametrize(
    ("crashes", "quarantined"), [(1, False), (QUARANTINE_CRASHES, True)]
)
def test_a_resend_under_another_id_is_quarantined(
    crashes: int, quarantined: bool
) -> None:
    """Guards against a request that crashes one upstream after the other."""
    evidence = CrashEvidence()
    evidence.take_suspects([Suspect(digest_of(work()), crashes)])
    assert evidence.is_quarantined(work(request_id="r2")) is quarantined
    assert not evidence.is_quarantined(work("/other"))


def test_an_answer_clears_a_suspect() -> None:
    """Guards against quarantining a request that upstreams answer."""
    evidence = CrashEvidence()
    evidence.on_success(work(), 1.0)
    assert evidence.report(1.0) == ((), ())
    evidence.take_suspects([Suspect(digest_of(work()), 1)])
    evidence.on_success(work(), 2.0)
    assert evidence.report(2.0) == ((), (digest_of(work()),))
