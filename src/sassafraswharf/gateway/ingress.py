"""Takes requests of callers and gives each one answer."""

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
"""Share of the time left for which a request waits for an owner of its key."""
OWNER_RETRY_DELAY_S: Final = 0.12
MAX_UNDELIVERED_ATTEMPTS: Final = 6
MAX_OVERLOAD_ATTEMPTS: Final = 2
"""Upstreams that are asked for room before a request is refused as overload."""
SUCCESS_LOG_INTERVAL: Final = 64
REFUSAL_GRACE_S: Final = 0.02
"""Time in which what waits at the upstream beside hears that it is refused."""
STOPPING: Final = Rejection(ResultCode.SHUTTING_DOWN, "the router is stopping", True)
MAX_LOGGED_TEXT: Final = 120
"""Characters of a caller's text that a line of the log repeats."""

OUTDATED_OWNER_CODES: Final = frozenset({ResultCode.NOT_OWNER, ResultCode.NO_UPSTREAM})
"""Codes after which a key may have another owner than this router knows."""
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
    """How far a request has come, for the decision log and the final answer."""

    __slots__ = (
        "attempts",
        "in_attempt",
        "last_rejection",
        "outdated_version",
        "owner_wait_until",
        "tried",
    )

    def __init__(self) -> None:
        """Start before the first attempt."""
        self.attempts = 0
        self.in_attempt = False
        self.tried: set[Instance] = set()
        self.last_rejection: Rejection | None = None
        self.outdated_version = -1
        self.owner_wait_until = 0.0


class Ingress:
    """Routes the requests of the callers on this host.

    A request that may be repeated is sent again after a failure, any other only
    while it is certain that no upstream has run it. The caller gets a status that
    promises "not run" only in that case.

    While the process stops (``closing``) answers close their connections. Callers
    use the others until the process ends, so what comes late is refused
    (``refusing``): there may be no time left to finish it. What was taken before
    and is not finished gets an answer at ``give_up``.
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
        """Serve the callers that ``reader`` reads for.

        ``refresh`` is called when the table seems to be outdated.
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
        # A caller counts from when it sent the request, also behind another one.
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
        """Refuse a request before any upstream is chosen for it.

        The line names the version that decided, since another version may allow
        the request.
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
        """Count and log a request that the HTTP library refused unread."""
        self.tally.codes[str(int(ResultCode.BAD_REQUEST))] += 1
        self.log.record("malformed", sender="caller", why=reason)

    def rejection_response(
        self, request_id: str, rejection: Rejection, route: str
    ) -> web.StreamResponse:
        """Return a refusal that echoes the id of its request."""
        echoed = {self.names.request_id: request_id} if request_id else {}
        return rejection_response(rejection, route, echoed, close=self.closing)

    async def serve_until_deadline(
        self, work: Work, route: Route, progress: RequestProgress
    ) -> Outcome:
        """Serve a request until its deadline, which may have passed behind others."""
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
        """Let every request end with an answer now; none is sent once more.

        One that no upstream has been sent is refused as not run.
        """
        self.gave_up = True
        end = asyncio.get_running_loop().time() + REFUSAL_GRACE_S
        for limit in self.timeouts:
            if not limit.expired():
                limit.reschedule(min(end, limit.when() or end))

    async def serve(
        self, work: Work, route: Route, progress: RequestProgress
    ) -> Outcome:
        """Send a request until there is an answer or no way to get one."""
        budget = self.retry_budgets.get(work.service)
        if budget is None:
            budget = self.retry_budgets[work.service] = self.make_retry_budget()
        budget.on_request(self.clock.now())
        if self.crashes.is_refused(work):
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
                # The router of the only owner may be back in a moment.
                await asyncio.sleep(OWNER_RETRY_DELAY_S)
                progress.tried.clear()

    async def choose_upstream(
        self, work: Work, progress: RequestProgress
    ) -> Upstream | None:
        """Return the upstream for a request, waiting for an owner of its key."""
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
        """Send a request to one upstream, through its router or directly."""
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
        """Return the latest rejection, which promises no more than all allow."""
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
        """Return whether another attempt is allowed and has a chance."""
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
            # The table may have changed while the request was on its way.
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
        """Return the rejection of a request whose time has passed."""
        last = progress.last_rejection
        if not progress.in_attempt and (last is None or last.not_run):
            message = "no upstream was found in time"
            return Rejection(ResultCode.NO_UPSTREAM, message, True)
        message = f"no answer in time after {progress.attempts} attempts"
        return Rejection(ResultCode.UPSTREAM_TIMEOUT, message, False, True)

    def log_answer(
        self, work: Work, route: Route, progress: RequestProgress, started_at: float
    ) -> None:
        """Log a sample of the answers, and each that took several attempts."""
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
