"""Which requests are retried, and which outcome callers get."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok

from sassafraswharf.clock import BootClock
from sassafraswharf.codes import ResultCode
from sassafraswharf.fleet.sync import Suspect
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.crash_evidence import CrashEvidence
from sassafraswharf.gateway.crash_evidence import digest_of
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.gateway.ingress import Ingress
from sassafraswharf.gateway.ingress import RequestProgress
from sassafraswharf.gateway.request_reader import RequestReader
from sassafraswharf.gateway.retry_budget import RetryBudget
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.gateway.work import Answer
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.routing.values import Route
from sassafraswharf.routing.values import RouteTarget


if TYPE_CHECKING:
    from sassafraswharf.gateway.local_upstream import Outcome


ANSWER = Ok(Answer(200, (), b"whole"))
NOT_RUN = Err(Rejection(ResultCode.NO_UPSTREAM, "down", True))
FULL = Err(Rejection(ResultCode.OVERLOADED, "full", True, True))
LOST = Err(Rejection(ResultCode.OUTCOME_UNKNOWN, "lost", False, True))
KEY = 7


class ScriptedHops:
    """Replaces the hop client: returns scripted outcomes in order."""

    def __init__(self, outcomes: list[Outcome]) -> None:
        self.outcomes = outcomes
        self.asked: list[str] = []

    async def run(self, _work: Work, upstream: Upstream) -> Outcome:
        self.asked.append(upstream.instance.name)
        return self.outcomes[min(len(self.asked), len(self.outcomes)) - 1]


def make_ingress(hops: ScriptedHops, crashes: CrashEvidence | None = None) -> Ingress:
    log = DecisionLog("h", -1)
    view = FleetView(DocumentReader(), log)
    upstreams = tuple(
        Upstream(Instance(name, 1), "s", name, name, "a", 10, False) for name in "xyz"
    )
    rows = (ServiceRows("k", (KeyRow(0, 65_535, Instance("x", 1), 3),)),)
    view.fleet.apply(5, FleetChange(upstreams, (), rows))
    return Ingress(
        RequestReader("s", HEADER_NAMES, view, 0.0),
        view,
        UpstreamChooser("a", random.Random(3)),
        hops,  # type: ignore[arg-type]
        None,
        lambda: RetryBudget(0.2, 64, 10),
        crashes or CrashEvidence(),
        BootClock(),
        log,
    )


def serve(
    outcomes: list[Outcome],
    *,
    repeatable: bool,
    key: int | None = None,
    attempts: int = 2,
    time_s: float = 0.6,
    crashes: int = 0,
) -> tuple[Outcome, list[str]]:
    async def main() -> tuple[Outcome, list[str]]:
        hops = ScriptedHops(outcomes)
        evidence = CrashEvidence()
        ingress = make_ingress(hops, evidence)
        now = ingress.clock.now()
        terms = Terms(1, False, now + 0.3, now + time_s)
        service = "s" if key is None else "k"
        work = Work(
            "id", "GET", "/", (), b"", None, service, "s", key, repeatable, terms
        )
        evidence.take_suspects([Suspect(digest_of(work), crashes)] if crashes else [])
        targets = (RouteTarget(service, 1),)
        route = Route("r", "h", "/", repeatable, 1.0, 0.3, 1, attempts, targets)
        return await ingress.serve(work, route, RequestProgress()), hops.asked

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("outcomes", "repeatable", "asked", "answered"),
    [
        ([ANSWER], False, 1, True),
        ([LOST, ANSWER], True, 2, True),
        ([LOST, ANSWER], False, 1, False),
        ([NOT_RUN, ANSWER], False, 2, True),
        ([FULL, ANSWER], False, 2, True),
        ([LOST, LOST, ANSWER], True, 2, False),
        ([NOT_RUN, NOT_RUN, NOT_RUN, ANSWER], True, 3, False),
    ],
)
def test_only_safe_requests_are_retried(
    outcomes: list[Outcome], repeatable: bool, asked: int, answered: bool
) -> None:
    """Guards against a booking that runs twice, or too many attempts."""
    outcome, names = serve(outcomes, repeatable=repeatable)
    assert len(names) == asked
    assert len(set(names)) == asked
    assert isinstance(outcome, Ok) is answered


@pytest.mark.parametrize(
    ("outcomes", "not_run"),
    [([NOT_RUN], True), ([FULL], True), ([LOST], False), ([LOST, NOT_RUN], False)],
)
def test_not_run_is_promised_only_if_every_attempt_allows_it(
    outcomes: list[Outcome], not_run: bool
) -> None:
    """Guards against reporting "not run" for a request that an attempt may have run."""
    outcome, _ = serve(outcomes, repeatable=True)
    assert isinstance(outcome, Err)
    assert outcome.err_value.not_run is not_run


def test_a_keyed_request_asks_its_owner_again_for_a_while() -> None:
    """Guards against lookups that fail while the key owner's router restarts."""
    outcome, names = serve(
        [NOT_RUN, NOT_RUN, ANSWER], repeatable=True, key=KEY, time_s=2
    )
    assert isinstance(outcome, Ok)
    assert names == ["x", "x", "x"]


def test_a_keyed_request_gives_up_early() -> None:
    """Guards against a request that waits until its deadline for an owner."""
    outcome, names = serve([NOT_RUN], repeatable=True, key=KEY, time_s=0.6)
    assert isinstance(outcome, Err)
    assert outcome.err_value.not_run
    assert 1 <= len(names) <= 3


@pytest.mark.parametrize(
    ("outcomes", "crashes", "asked", "code"),
    [
        ([LOST, ANSWER], 1, 1, ResultCode.OUTCOME_UNKNOWN),
        ([FULL, LOST], 1, 2, ResultCode.OUTCOME_UNKNOWN),
        ([ANSWER], 3, 0, ResultCode.QUARANTINED),
    ],
)
def test_a_suspect_of_crashes_is_not_repeated(
    outcomes: list[Outcome], crashes: int, asked: int, code: ResultCode
) -> None:
    """Guards against a request that crashes the upstreams one after the other."""
    outcome, names = serve(outcomes, repeatable=True, crashes=crashes)
    assert len(names) == asked
    assert isinstance(outcome, Err)
    assert outcome.err_value.code is code
    assert outcome.err_value.not_run is (code is ResultCode.QUARANTINED)


@pytest.mark.parametrize(
    ("key", "first", "asks"),
    [
        (KEY, Err(Rejection(ResultCode.NOT_OWNER, "moved", True)), True),
        (KEY, NOT_RUN, True),
        (KEY, FULL, False),
        (None, NOT_RUN, False),
    ],
)
def test_a_router_asks_for_the_table_after_a_misdirected_request(
    key: int | None, first: Outcome, asks: bool
) -> None:
    """Guards against keys rejected until the next report after a hot key moved."""

    async def main() -> bool:
        ingress = make_ingress(ScriptedHops([first, ANSWER]))
        asked = asyncio.Event()
        ingress.refresh = asked.set
        now = ingress.clock.now()
        terms = Terms(1, False, now + 0.1, now + 0.3)
        service = "s" if key is None else "k"
        work = Work("id", "GET", "/", (), b"", None, service, "s", key, True, terms)
        targets = (RouteTarget(service, 1),)
        route = Route("r", "h", "/", True, 1.0, 0.3, 1, 2, targets)
        await ingress.serve(work, route, RequestProgress())
        return asked.is_set()

    assert asyncio.run(main()) is asks
