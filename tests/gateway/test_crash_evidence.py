"""Attribution of upstream crashes to requests, and quarantine of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sassafraswharf.fleet.sync import Suspect
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.crash_evidence import QUARANTINE_CRASHES
from sassafraswharf.gateway.crash_evidence import REPORT_PERIOD_S
from sassafraswharf.gateway.crash_evidence import CrashEvidence
from sassafraswharf.gateway.crash_evidence import digest_of
from sassafraswharf.gateway.message_text import MAX_BUFFERED_BODY_BYTES
from sassafraswharf.gateway.message_text import digest_of_beginning
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


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


async def parts(*sizes: int) -> AsyncIterator[bytes]:
    for size in sizes:
        yield b"x" * size


def streamed(beginning: bytes) -> Work:
    digest = digest_of_beginning(beginning)
    return work()._replace(rest=parts(9), stream_digest=digest)


@pytest.mark.parametrize("extra", [1, 5_000, 65_536])
def test_a_resend_of_a_long_request_is_quarantined(extra: int) -> None:
    """Guards against long requests that crash one upstream after the other.

    The parts in which a body arrives differ each time.
    """
    beginning = bytes(range(256)) * (MAX_BUFFERED_BODY_BYTES // 256)
    evidence = CrashEvidence()
    evidence.on_lost(streamed(beginning + b"x"))
    evidence.on_end(LIFE, 10.0)
    (crash,), _ = evidence.report(10.0)
    evidence.take_suspects([Suspect(crash.digests[0], QUARANTINE_CRASHES)])
    assert evidence.is_quarantined(streamed(beginning + b"x" * extra))
    assert not evidence.is_quarantined(streamed(b"y" + beginning))
    assert not evidence.is_quarantined(work())


@pytest.mark.parametrize("count", [1, 3])
def test_lost_long_requests_hold_no_bodies(count: int) -> None:
    """Guards against memory that grows with lost requests."""
    evidence = CrashEvidence()
    for _ in range(count):
        evidence.on_lost(streamed(bytes(MAX_BUFFERED_BODY_BYTES + 1)))
    assert all(not one.body and one.rest is None for one in evidence.lost)


def test_an_answer_clears_a_suspect() -> None:
    """Guards against quarantining a request that upstreams answer."""
    evidence = CrashEvidence()
    evidence.on_success(work(), 1.0)
    assert evidence.report(1.0) == ((), ())
    evidence.take_suspects([Suspect(digest_of(work()), 1)])
    evidence.on_success(work(), 2.0)
    assert evidence.report(2.0) == ((), (digest_of(work()),))
