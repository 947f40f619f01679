"""Routes each request to the owner of its key, with retries and one hop at most."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.quarantine.local_quarantine import ExecutionMode
from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import ExchangeResult
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.requests.outcome import may_retry
from sassafraswharf.requests.retry_budget import RetryBudget
from sassafraswharf.router import headers
from sassafraswharf.router.answers import Answer
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.local_service import not_owner_failure
from sassafraswharf.router.local_service import quarantined_failure
from sassafraswharf.router.local_service import refused_result


if TYPE_CHECKING:
    import random

    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.membership.values import Session
    from sassafraswharf.ownership.values import Ownership
    from sassafraswharf.requests.outcome import Outcome
    from sassafraswharf.requests.upstream_choice import UpstreamChoice
    from sassafraswharf.router.http_exchange import HttpAnswer
    from sassafraswharf.router.incoming import IncomingRequest
    from sassafraswharf.router.local_service import LocalService
    from sassafraswharf.router.peer_routers import PeerRouters
    from sassafraswharf.router.upstream_runner import RunResult
    from sassafraswharf.router.view import RouterView


OWNER_WAIT_S: Final = 2.0
"""How long a request waits for a slot without an owner to be assigned."""
RETRY_DELAY_S: Final = 0.02
EXPECTED_ATTEMPT_DURATION_S: Final = 0.005
RETRY_FLOOR_TOKENS: Final = 20.0
"""Covers the requests that one crash can interrupt: the slots of an upstream."""
REROUTABLE_CODES: Final = frozenset(
    {ResultCode.NOT_OWNER, ResultCode.LEASE_EXPIRED, ResultCode.SHUTTING_DOWN}
)
"""Refusals after which another owner, or the same one later, may accept."""
NOT_SENT_OUTCOME: Final = OUTCOMES[ExchangeResult.NOTHING_SENT]
ENDED_STATES: Final = frozenset({UpstreamState.LOST, UpstreamState.GONE})


class Attempt(NamedTuple):
    """The answer of one attempt, its outcome and the address of the owner."""

    answer: Answer
    outcome: Outcome
    owner_address: str = ""
    crashed: bool = False


class RequestRouter:
    """Finds the owner of each request and returns its answer.

    A request takes at most one hop between routers. It is retried only if it is
    repeatable or the previous attempt provably did not run. Attempts that may have
    loaded an upstream are limited by a retry budget.
    """

    def __init__(
        self,
        view: RouterView,
        local_service: LocalService,
        peers: PeerRouters,
        choice: UpstreamChoice,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without retry budgets; one is created per service on first use."""
        self.view = view
        self.local_service = local_service
        self.peers = peers
        self.choice = choice
        self.clock = clock
        self.rng = rng
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self.incarnations: dict[UpstreamId, int] = {}
        self.synced_version = 0
        self.on_retry: Callable[[str], None] = lambda _reason: None

    async def serve(self, request: IncomingRequest) -> Attempt:
        """Return the complete answer or a refusal, with the address of the owner."""
        now = self.clock.now()
        treatment = self.local_service.crash_detector.execution_mode(request.digest)
        if treatment is ExecutionMode.REFUSED:
            return Attempt(
                refusal(quarantined_failure(request.digest)), NOT_SENT_OUTCOME
            )
        if treatment is ExecutionMode.ALONE:
            request = request._replace(solo=True)
        budget = self.budget(request.classification.service, now)
        budget.on_request(now)
        wait_until = min(request.deadline_at, now + OWNER_WAIT_S)
        while True:
            attempt = await self.attempt(request)
            self.record_crash(request, attempt)
            if not await self.should_retry(request, attempt, budget, wait_until):
                return to_caller_attempt(attempt)
            self.on_retry(attempt.answer.code.name.lower())
            if attempt.crashed:
                request = request._replace(solo=True)

    async def serve_hop(
        self, request: IncomingRequest, upstream: UpstreamId
    ) -> RunResult:
        """Serve a request forwarded by another router, without forwarding it again."""
        if request.routing_key is None:
            return await self.local_service.serve(request, upstream, None)
        table = self.view.tables.get(request.classification.service)
        ownership = None if table is None else table.owner_of(request.routing_key)
        if ownership is None or ownership.upstream is None:
            return refused_result(not_owner_failure(upstream))
        return await self.local_service.serve(request, ownership.upstream, ownership)

    async def attempt(self, request: IncomingRequest) -> Attempt:
        """Make one attempt at the owner, or at any upstream if there is no key."""
        if request.routing_key is None:
            return await self.attempt_without_key(request)
        table = self.view.tables.get(request.classification.service)
        if table is None:
            return no_owner_attempt("the service has no slots yet")
        ownership = table.owner_of(request.routing_key)
        session = self.view.sessions.get(ownership.session)
        known = self.view.upstreams.get(ownership.upstream or UpstreamId(""))
        if ownership.upstream is None or session is None or known is None:
            return no_owner_attempt(f"slot {ownership.slot} has no owner at the moment")
        if known.state in ENDED_STATES:
            return no_owner_attempt(f"slot {ownership.slot} has no owner at the moment")
        if ownership.closing:
            return no_owner_attempt(f"slot {ownership.slot} is being moved")
        if session.host == self.local_service.host:
            return await self.attempt_local(request, ownership.upstream, ownership)
        return await self.attempt_remote(request, ownership.upstream, session)

    def record_crash(self, request: IncomingRequest, attempt: Attempt) -> None:
        """Record locally that a request may have crashed an upstream.

        A resend may arrive before the cell's table that lists it as a suspect.
        """
        if attempt.crashed:
            self.local_service.crash_detector.record_remote_crash(
                request.digest, alone=request.solo
            )

    async def attempt_without_key(self, request: IncomingRequest) -> Attempt:
        """Make one attempt at an available upstream, for a request without a key."""
        service = request.classification.service
        self.sync_available_upstreams()
        candidates = self.view.available.get(service, ())
        upstream = self.choice.choose(candidates, self.clock.now(), self.rng)
        if upstream is None:
            return no_owner_attempt(f"no upstream of {service} is available")
        session = self.view.sessions[self.view.upstreams[upstream].session]
        self.choice.on_request_sent(upstream, request.request_id, self.clock.now())
        try:
            if session.host == self.local_service.host:
                attempt = await self.attempt_local(request, upstream, None)
            else:
                attempt = await self.attempt_remote(request, upstream, session)
        except asyncio.CancelledError:
            self.choice.on_request_cancelled(upstream, request.request_id)
            raise
        if attempt.outcome.kind is OutcomeKind.NOT_RUN:
            self.choice.on_request_cancelled(upstream, request.request_id)
        self.choice.on_request_finished(
            upstream,
            request.request_id,
            attempt.outcome.upstream_failed,
            self.clock.now(),
        )
        return attempt

    def sync_available_upstreams(self) -> None:
        """Update the upstream choice with the upstreams that are available now.

        A restarted upstream is cold, so its ramp-up starts again.
        """
        if self.synced_version == self.view.version:
            return
        self.synced_version = self.view.version
        available = {name for names in self.view.available.values() for name in names}
        for name in set(self.incarnations) - available:
            del self.incarnations[name]
            self.choice.remove(name)
        for name in available:
            upstream = self.view.upstreams[name]
            if self.incarnations.get(name) != upstream.incarnation:
                self.incarnations[name] = upstream.incarnation
                self.choice.add(name, upstream.speed, self.clock.now())

    async def attempt_local(
        self,
        request: IncomingRequest,
        upstream: UpstreamId,
        ownership: Ownership | None,
    ) -> Attempt:
        """Serve the request from a local upstream."""
        result = await self.local_service.serve(request, upstream, ownership)
        outcome = outcome_of(result.answer, result.kind, failed=result.upstream_failed)
        address = self.local_service.public_address if ownership is not None else ""
        return Attempt(result.answer, outcome, address, result.crashed)

    async def attempt_remote(
        self, request: IncomingRequest, upstream: UpstreamId, session: Session
    ) -> Attempt:
        """Forward the request to the router on the host of the upstream."""
        parent_id = ""
        if request.nested_depth:
            parent_id = self.local_service.ids.create(
                request.request_id, request.nested_depth - 1
            )
        http = await self.peers.forward(
            request, session, upstream, parent_id, self.clock.now()
        )
        keyed = request.routing_key is not None
        return attempt_from_hop(http, session.public_address if keyed else "")

    async def should_retry(
        self,
        request: IncomingRequest,
        attempt: Attempt,
        budget: RetryBudget,
        wait_until: float,
    ) -> bool:
        """Return whether to retry, after waiting until a retry may succeed."""
        outcome = attempt.outcome
        now = self.clock.now()
        if outcome.kind is OutcomeKind.ANSWER or now >= wait_until:
            return False
        if attempt.answer.code in REROUTABLE_CODES or is_unassigned(attempt):
            # No upstream was reached, so this does not spend the retry budget.
            await self.view.changed.wait(
                min(wait_until - now, self.retry_delay_s(attempt))
            )
            return self.clock.now() < wait_until
        if not outcome.upstream_failed or is_second_crash(request, outcome):
            return False
        if not may_retry(outcome, request.classification.repeatable):
            return False
        if not budget.try_spend(now, request.deadline_at, EXPECTED_ATTEMPT_DURATION_S):
            return False
        if request.routing_key is not None:
            await self.view.changed.wait(min(wait_until - now, RETRY_DELAY_S))
        return True

    def retry_delay_s(self, attempt: Attempt) -> float:
        """Return how long to wait for a change of the view before the next attempt."""
        if attempt.answer.code in REROUTABLE_CODES:
            self.local_service.request_refresh()
            return RETRY_DELAY_S
        return OWNER_WAIT_S

    def budget(self, service: ServiceName, now: float) -> RetryBudget:
        """Return the retry budget of a service, creating it on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(now, RETRY_FLOOR_TOKENS)
        return budget


def is_second_crash(request: IncomingRequest, outcome: Outcome) -> bool:
    """Return whether a request may have crashed its upstream while running alone."""
    return request.solo and outcome.kind is OutcomeKind.MAY_HAVE_RUN


def to_caller_attempt(attempt: Attempt) -> Attempt:
    """Return the attempt as reported to the caller.

    Refusals between routers are internal, so the caller gets a handover timeout.
    """
    if attempt.answer.code not in REROUTABLE_CODES:
        return attempt
    message = f"no owner was found in time: {attempt.answer.code.name.lower()}"
    return Attempt(
        refusal(Failure(ResultCode.HANDOVER_TIMEOUT, message)), attempt.outcome
    )


def is_unassigned(attempt: Attempt) -> bool:
    """Return whether the attempt failed because no upstream may serve the slot."""
    return attempt.answer.code == ResultCode.HANDOVER_TIMEOUT


def no_owner_attempt(message: str) -> Attempt:
    """Return an attempt that found no owner and sent nothing."""
    answer = refusal(Failure(ResultCode.HANDOVER_TIMEOUT, message))
    return Attempt(answer, NOT_SENT_OUTCOME)


def outcome_of(answer: Answer, kind: OutcomeKind, *, failed: bool) -> Outcome:
    """Return the outcome of an attempt at a local upstream."""
    base = OUTCOMES[ExchangeResult.ANSWERED]
    return base._replace(kind=kind, code=answer.code, upstream_failed=failed)


def attempt_from_hop(http: HttpAnswer, owner_address: str) -> Attempt:
    """Convert the answer of another router, or the way the hop failed."""
    outcome = OUTCOMES[http.exchange]
    is_complete = http.exchange in {
        ExchangeResult.ANSWERED,
        ExchangeResult.ANSWERED_NOT_RUN,
    }
    if not is_complete or headers.CODE not in http.headers:
        return failed_hop(outcome, owner_address)
    code = ResultCode(int(http.headers[headers.CODE]))
    not_run = http.headers.get(headers.NOT_RUN, "")
    fields = headers.end_to_end(http.headers.items())
    answer = Answer(code, http.status, fields, http.body, not_run)
    upstream = http.headers.get(headers.UPSTREAM, "")
    kind = OutcomeKind.ANSWER
    if code != ResultCode.OK:
        kind = OutcomeKind.NOT_RUN if not_run else OutcomeKind.MAY_HAVE_RUN
    return Attempt(
        answer,
        outcome._replace(kind=kind, code=code, upstream_failed=bool(upstream)),
        owner_address,
        upstream == headers.CRASHED,
    )


def failed_hop(outcome: Outcome, owner_address: str) -> Attempt:
    """Return the refusal for a hop without a complete answer."""
    code = outcome.code
    if outcome.kind is OutcomeKind.ANSWER:
        outcome = OUTCOMES[ExchangeResult.CUT_SHORT]
        code = outcome.code
    if outcome.kind is OutcomeKind.NOT_RUN:
        code = ResultCode.NOT_OWNER
    failure = Failure(code, "the router beside the upstream gave no whole answer")
    return Attempt(refusal(failure), outcome, owner_address)
