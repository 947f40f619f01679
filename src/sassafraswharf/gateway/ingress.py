"""Accepts requests from callers, routes and retries them, and responds."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.fleet.crash_table import SUSPICION_S
from sassafraswharf.gateway.responses import DEFAULT_RETRY_AFTER_S
from sassafraswharf.gateway.responses import rejection_response
from sassafraswharf.gateway.responses import relay_answer
from sassafraswharf.gateway.tally import RequestTally
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.router.http_server import waited_s


if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.crash_evidence import CrashEvidence
    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.gateway.hop_client import HopClient
    from sassafraswharf.gateway.local_upstream import LocalUpstream
    from sassafraswharf.gateway.local_upstream import Outcome
    from sassafraswharf.gateway.request_reader import RequestReader
    from sassafraswharf.gateway.retry_budget import RetryBudget
    from sassafraswharf.gateway.upstream_choice import UpstreamChooser
    from sassafraswharf.gateway.work import Work
    from sassafraswharf.observability.decision_log import DecisionLog
    from sassafraswharf.routing.values import Route


OWNER_WAIT_SHARE: Final = 0.35
"""Share of the remaining time that a request waits for its key to have an owner."""
OWNER_RETRY_DELAY_S: Final = 0.12
MAX_UNDELIVERED_ATTEMPTS: Final = 6
"""Attempts of a request without a key while no upstream has received it."""
MAX_OVERLOAD_ATTEMPTS: Final = 2
"""Upstreams that may reject a request as overloaded before its caller is told."""
SUCCESS_LOG_INTERVAL: Final = 64
"""One in this many successful requests of a route is logged."""
REFUSAL_GRACE_S: Final = 0.02
"""At shutdown, time for requests queued at the local upstream to be rejected."""
STOPPING: Final = Rejection(ResultCode.SHUTTING_DOWN, "the router is stopping", True)
MAX_LOGGED_TEXT: Final = 120
"""Characters of a caller's header or path that a log line includes."""

OUTDATED_OWNER_CODES: Final = frozenset({ResultCode.NOT_OWNER, ResultCode.NO_UPSTREAM})
"""Codes that suggest that this router's table of key owners is outdated."""
UPSTREAM_FAILURE_CODES: Final = frozenset(
    {
        ResultCode.NO_UPSTREAM,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.ANSWER_INCOMPLETE,
    }
)


def do_nothing() -> None:
    """Do nothing."""


class RequestProgress:
    """State of a request across its attempts."""

    __slots__ = (
        "attempts",
        "in_attempt",
        "last_rejection",
        "outdated_version",
        "owner_wait_until",
        "tried",
    )

    def __init__(self) -> None:
        """Start with no attempt made."""
        self.attempts = 0
        self.in_attempt = False
        self.tried: set[Instance] = set()
        self.last_rejection: Rejection | None = None
        self.outdated_version = -1
        self.owner_wait_until = 0.0


class Ingress:
    """Routes the requests of the callers on this host.

    An idempotent request is retried after a failure, any other only if it is certain
    that no upstream has run it. A status that means "not run" is sent only if that is
    certain.

    During shutdown (``closing``) every response closes its connection. Callers
    keep using their other connections until the process exits, so late requests
    are rejected (``refusing``): there may be no time left to finish them. Requests
    that are still in progress at ``give_up`` are answered with an error.
    """

    def __init__(
        self,
        reader: RequestReader,
        view: FleetView,
        choice: UpstreamChooser,
        hops: HopClient,
        local: LocalUpstream | None,
        make_retry_budget: Callable[[], RetryBudget],
        crashes: CrashEvidence,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Serve the callers whose requests ``reader`` parses.

        ``refresh`` is called when the table of key owners seems to be outdated.
        """
        self.refresh: Callable[[], None] = do_nothing
        self.reader = reader
        self.names = reader.names
        self.view = view
        self.choice = choice
        self.hops = hops
        self.local = local
        self.make_retry_budget = make_retry_budget
        self.crashes = crashes
        self.clock = clock
        self.log = log
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.tally = RequestTally()
        self.closing = False
        self.refusing = False
        self.gave_up = False
        self.timeouts: set[asyncio.Timeout] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        # Callers count the deadline from sending, also for a request that waits
        # behind an earlier one on its connection.
        now = self.clock.now() - waited_s(request)
        request_id = request.headers.get(self.names.request_id, "")
        if self.refusing:
            return self.reject_request(request, request_id, STOPPING, "-")
        target = self.reader.find_target(request, now)
        if isinstance(target, Rejection):
            return self.reject_request(request, request_id, target, "-")
        work = await self.reader.read_work(request, request_id, target, now)
        if isinstance(work, Rejection):
            return self.reject_request(request, request_id, work, target.route.name)
        if self.refusing:
            # Its body was read until now.
            return self.reject_request(request, request_id, STOPPING, target.route.name)
        progress = RequestProgress()
        outcome = await self.serve_until_deadline(work, target.route, progress)
        code = 0 if isinstance(outcome, Ok) else int(outcome.err_value.code)
        self.tally.record_outcome(
            target.route.name,
            work.service,
            code,
            self.clock.now() - now,
            repeatable=work.repeatable,
        )
        if isinstance(outcome, Ok):
            self.log_answer(work, target.route, progress, now)
            left_s = work.terms.deadline_at - self.clock.now()
            return await relay_answer(
                request, outcome.ok_value, {}, left_s, close=self.closing
            )
        self.log.record(
            "failed",
            request=request_id,
            route=target.route.name,
            service=work.service,
            key=work.key,
            code=int(outcome.err_value.code),
            why=outcome.err_value.message,
            not_run=outcome.err_value.not_run,
            attempts=progress.attempts,
            after_ms=int((self.clock.now() - now) * 1000),
            plan=self.view.plan.version,
            fleet=self.view.fleet.version,
        )
        return self.rejection_response(request_id, outcome.err_value, target.route.name)

    def reject_request(
        self,
        request: web.BaseRequest,
        request_id: str,
        rejection: Rejection,
        route: str,
    ) -> web.StreamResponse:
        """Reject a request before any upstream is chosen for it.

        The log line has the version of the configuration, since another version
        may allow the request.
        """
        self.tally.codes[str(int(rejection.code))] += 1
        self.log.record(
            "turned_away",
            request=request_id,
            method=request.method,
            authority=request.headers.get("Host", "")[:MAX_LOGGED_TEXT],
            path=request.raw_path[:MAX_LOGGED_TEXT],
            route=route,
            key=request.headers.get(self.names.key, "")[:MAX_LOGGED_TEXT],
            code=int(rejection.code),
            why=rejection.message,
            plan=self.view.plan.version,
        )
        return self.rejection_response(request_id, rejection, route)

    def on_malformed(self, reason: str) -> None:
        """Count and log a request that the HTTP parser rejected."""
        self.tally.codes[str(int(ResultCode.BAD_REQUEST))] += 1
        self.log.record("malformed", sender="caller", why=reason)

    def rejection_response(
        self, request_id: str, rejection: Rejection, route: str
    ) -> web.StreamResponse:
        """Return an error response that echoes the id of its request."""
        echoed = {self.names.request_id: request_id} if request_id else {}
        return rejection_response(rejection, route, echoed, close=self.closing)

    async def serve_until_deadline(
        self, work: Work, route: Route, progress: RequestProgress
    ) -> Outcome:
        """Serve a request until its deadline.

        The deadline may have passed while the request waited behind others on its
        connection.
        """
        left_s = work.terms.deadline_at - self.clock.now()
        if left_s <= 0:
            message = "no time is left"
            return Err(Rejection(ResultCode.DEADLINE_EXPIRED, message, True))
        try:
            async with asyncio.timeout(left_s) as limit:
                self.timeouts.add(limit)
                try:
                    return await self.serve(work, route, progress)
                finally:
                    self.timeouts.discard(limit)
        except TimeoutError:
            return Err(self.on_timeout(progress))

    def give_up(self) -> None:
        """End every request now with an answer, without further attempts.

        Requests that were not sent to any upstream are rejected as not run.
        """
        self.gave_up = True
        end = asyncio.get_running_loop().time() + REFUSAL_GRACE_S
        for limit in self.timeouts:
            if not limit.expired():
                limit.reschedule(min(end, limit.when() or end))

    async def serve(
        self, work: Work, route: Route, progress: RequestProgress
    ) -> Outcome:
        """Send a request until an upstream answers or no retry is allowed."""
        budget = self.retry_budgets.get(work.service)
        if budget is None:
            budget = self.retry_budgets[work.service] = self.make_retry_budget()
        budget.on_request(self.clock.now())
        if self.crashes.is_quarantined(work):
            message = "the request crashed upstreams"
            return Err(
                Rejection(ResultCode.QUARANTINED, message, True, False, SUSPICION_S)
            )
        now = self.clock.now()
        progress.owner_wait_until = now + OWNER_WAIT_SHARE * (
            work.terms.deadline_at - now
        )
        while True:
            upstream = await self.choose_upstream(work, progress)
            if upstream is None:
                message = f"no upstream of {work.service} can take the request"
                return Err(
                    progress.last_rejection
                    or Rejection(
                        ResultCode.NO_UPSTREAM,
                        message,
                        True,
                        False,
                        DEFAULT_RETRY_AFTER_S,
                    )
                )
            outcome = await self.attempt(work, upstream, progress)
            if isinstance(outcome, Ok):
                return outcome
            rejection = outcome.err_value
            progress.last_rejection = self.merge_rejections(
                progress.last_rejection, rejection
            )
            self.tally.attempts[str(int(rejection.code))] += 1
            if work.key is not None and rejection.code in OUTDATED_OWNER_CODES:
                self.refresh()
            if not self.may_retry(work, route, rejection, progress, budget):
                return Err(progress.last_rejection)
            if work.key is not None and rejection.code is ResultCode.NO_UPSTREAM:
                # The router of the key's only owner may be restarting.
                await asyncio.sleep(OWNER_RETRY_DELAY_S)
                progress.tried.clear()

    async def choose_upstream(
        self, work: Work, progress: RequestProgress
    ) -> Upstream | None:
        """Return the upstream for a request; wait until its key has an owner."""
        fleet = self.view.fleet
        if work.key is None:
            candidates = fleet.by_service.get(work.service, [])
            return self.choice.choose(candidates, progress.tried, self.clock.now())
        while True:
            row = fleet.row_of(work.service, work.key)
            owner = fleet.upstreams.get(row.owner) if row else None
            is_new = progress.outdated_version < fleet.version
            if owner is not None and owner.instance not in progress.tried and is_new:
                return owner
            left_s = progress.owner_wait_until - self.clock.now()
            if left_s <= 0 or not await self.view.changed.wait(left_s):
                return None

    async def attempt(
        self, work: Work, upstream: Upstream, progress: RequestProgress
    ) -> Outcome:
        """Send a request to an upstream, directly or through the router on its host."""
        progress.attempts += 1
        progress.in_attempt = True
        progress.tried.add(upstream.instance)
        self.choice.on_sent(upstream)
        local = self.local
        try:
            beat = local.beat if local is not None else None
            if local is not None and beat and beat.instance == upstream.instance:
                outcome = await local.run(work, upstream.instance)
                self.choice.on_hint(upstream.instance, local.hint(), self.clock.now())
            else:
                outcome = await self.hops.run(work, upstream)
        finally:
            self.choice.on_finished(upstream)
        progress.in_attempt = False  # stays set if the attempt is cancelled
        if isinstance(outcome, Ok):
            self.choice.on_success(upstream.instance)
            self.crashes.on_success(work, self.clock.now())
        elif outcome.err_value.code in UPSTREAM_FAILURE_CODES:
            self.choice.on_failure(upstream.instance, self.clock.now())
        return outcome

    def merge_rejections(
        self, earlier: Rejection | None, latest: Rejection
    ) -> Rejection:
        """Return the latest rejection, as not run only if no attempt may have run."""
        if earlier is None or earlier.not_run:
            return latest
        return latest._replace(
            not_run=False, reached_upstream=True, code=ResultCode.OUTCOME_UNKNOWN
        )

    def may_retry(
        self,
        work: Work,
        route: Route,
        rejection: Rejection,
        progress: RequestProgress,
        budget: RetryBudget,
    ) -> bool:
        """Return whether another attempt is allowed and may finish in time."""
        if work.rest is not None or self.gave_up:
            return False
        if not rejection.not_run and not work.repeatable:
            return False
        tries = 1 if work.key is not None else MAX_OVERLOAD_ATTEMPTS
        if not rejection.not_run and self.crashes.crashes_of(work):
            return False
        if rejection.code is ResultCode.OVERLOADED and progress.attempts >= tries:
            return False
        if rejection.code is ResultCode.NOT_OWNER:
            # The key may have moved while the request was in transit.
            progress.tried.clear()
            progress.outdated_version = self.view.fleet.version
        now = self.clock.now()
        if not rejection.reached_upstream:
            if work.key is not None:
                return now < progress.owner_wait_until
            return progress.attempts < MAX_UNDELIVERED_ATTEMPTS
        expected_s = route.goal_s / 3
        if work.terms.deadline_at - now < expected_s:
            return False
        return progress.attempts < route.attempts and budget.try_spend(now)

    def on_timeout(self, progress: RequestProgress) -> Rejection:
        """Return the rejection of a request that has passed its deadline."""
        last_rejection = progress.last_rejection
        if not progress.in_attempt and (
            last_rejection is None or last_rejection.not_run
        ):
            message = "no upstream was found in time"
            return Rejection(ResultCode.NO_UPSTREAM, message, True)
        message = f"no answer in time after {progress.attempts} attempts"
        return Rejection(ResultCode.UPSTREAM_TIMEOUT, message, False, True)

    def log_answer(
        self, work: Work, route: Route, progress: RequestProgress, started_at: float
    ) -> None:
        """Log a sample of the answers, and every one that took several attempts."""
        number = self.tally.routes[route.name]
        if progress.attempts > 1 or number % SUCCESS_LOG_INTERVAL == 1:
            self.log.record(
                "answered",
                request=work.request_id,
                route=route.name,
                service=work.service,
                attempts=progress.attempts,
                after_ms=int((self.clock.now() - started_at) * 1000),
                sample=SUCCESS_LOG_INTERVAL,
            )
