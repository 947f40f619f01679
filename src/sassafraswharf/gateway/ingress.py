"""Takes requests of callers and gives each one answer."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from aiohttp import web
from multidict import CIMultiDict
from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.gateway.message_text import as_chunks
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.tally import RequestTally
from sassafraswharf.gateway.work import Answer
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work
from sassafraswharf.router.headers import end_to_end
from sassafraswharf.routing.traffic_split import TrafficSplit


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.gateway.hop_client import HopClient
    from sassafraswharf.gateway.local_upstream import LocalUpstream
    from sassafraswharf.gateway.local_upstream import Outcome
    from sassafraswharf.gateway.repeat_budget import RepeatBudget
    from sassafraswharf.gateway.upstream_choice import FleetChoice
    from sassafraswharf.gateway.work import HeaderNames
    from sassafraswharf.observability.decision_log import DecisionLog
    from sassafraswharf.routing.values import Route


OWNER_WAIT_SHARE: Final = 0.35
"""Share of the time left for which a request waits for an owner of its key."""
OWNER_PAUSE_S: Final = 0.12
MAX_TRIES: Final = 6
REFUSED_RETRY_S: Final = 0.1
OVERFLOW_TRIES: Final = 2
"""Upstreams that are asked for room before a request is refused as overload."""
SUCCESS_SAMPLE: Final = 64
MAX_CALLER_DEADLINE_S: Final = 600.0

STATUS_OF: Final = {
    ResultCode.BAD_REQUEST: 400,
    ResultCode.KEY_MISSING: 400,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UPSTREAM_TIMEOUT: 504,
}
NOT_RUN_STATUS: Final = 503
UNKNOWN_STATUS: Final = 502


class Progress:
    """How far a request has come, for the decision log and the final answer."""

    __slots__ = ("attempts", "last", "stale_version", "tried", "wait_until")

    def __init__(self) -> None:
        """Start before the first attempt."""
        self.attempts = 0
        self.tried: set[Instance] = set()
        self.last: Rejection | None = None
        self.stale_version = -1
        self.wait_until = 0.0

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return self.last is not None and not self.last.not_run


class Target(NamedTuple):
    """The route of a request and the service that it goes to."""

    route: Route
    service: str


class Ingress:
    """Routes the requests of the callers on this host.

    A request that may be repeated is sent again after a failure, any other only
    while it is certain that no upstream has run it. The caller gets a status that
    promises "not run" only in that case.
    """

    def __init__(
        self,
        origin: str,
        names: HeaderNames,
        view: FleetView,
        choice: FleetChoice,
        hops: HopClient,
        local: LocalUpstream | None,
        make_budget: Callable[[], RepeatBudget],
        clock: Clock,
        log: DecisionLog,
        offset: float,
    ) -> None:
        """Serve callers on a host whose upstream belongs to service ``origin``."""
        self.origin = origin
        self.names = names
        self.view = view
        self.choice = choice
        self.hops = hops
        self.local = local
        self.make_budget = make_budget
        self.clock = clock
        self.log = log
        self.split = TrafficSplit(offset)
        self.budgets: dict[str, RepeatBudget] = {}
        self.full_deadlines: dict[str, float] = {}
        self.tally = RequestTally()
        self.closing = False
        self.excluded = frozenset(
            name.lower() for name in (names.deadline_ms, names.instance, names.origin)
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        now = self.clock.now()
        request_id = request.headers.get(self.names.request_id, "")
        target = self.find_target(request)
        if isinstance(target, Rejection):
            return self.respond_rejection(request_id, target, None)
        work = await self.read_work(request, request_id, target, now)
        if isinstance(work, Rejection):
            return self.respond_rejection(request_id, work, target.route)
        progress = Progress()
        try:
            async with asyncio.timeout(work.terms.deadline_at - now):
                outcome = await self.serve(work, target.route, progress)
        except TimeoutError:
            outcome = Err(self.on_timeout(progress))
        code = 0 if isinstance(outcome, Ok) else int(outcome.err_value.code)
        self.tally.ended(
            target.route.name,
            work.service,
            code,
            self.clock.now() - now,
            repeatable=work.repeatable,
        )
        if isinstance(outcome, Ok):
            self.log_answer(work, target.route, progress, now)
            return await self.respond_answer(request, outcome.ok_value)
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
        return self.respond_rejection(request_id, outcome.err_value, target.route)

    # Reading.

    def find_target(self, request: web.BaseRequest) -> Target | Rejection:
        """Return the route and service of a request, or why there is none."""
        table = self.view.routes
        if table is None:
            message = "no configuration is known yet"
            code = ResultCode.CONFIGURATION_UNAVAILABLE
            return Rejection(code, message, True, False, REFUSED_RETRY_S)
        host = request.headers.get("Host", "").partition(":")[0]
        path = request.raw_path.partition("?")[0]
        route = table.find(host, path)
        if route is None:
            message = f"no route for {host} in version {table.version}"
            return Rejection(ResultCode.UNKNOWN_SERVICE, message, True)
        return Target(route, self.split.choose(route))

    async def read_work(
        self, request: web.BaseRequest, request_id: str, target: Target, now: float
    ) -> Work | Rejection:
        """Return a request with its body, or why it is refused."""
        route = target.route
        limit = self.view.plan.plan.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            message = f"the body exceeds {limit} bytes"
            return Rejection(ResultCode.BODY_TOO_LARGE, message, True)
        key = self.key_of(request, target.service)
        if isinstance(key, Rejection):
            return key
        body, rest = await read_body(request.content)
        return Work(
            request_id,
            request.method,
            request.raw_path,
            tuple(
                field
                for field in end_to_end(request.headers.items())
                if field[0].lower() not in self.excluded
            ),
            body if rest is None else b"",
            None if rest is None else as_chunks(body, rest),
            target.service,
            self.origin,
            key,
            route.repeatable,
            self.terms_of(request, route, now),
        )

    def key_of(self, request: web.BaseRequest, service: str) -> int | Rejection | None:
        """Return the key of a request to a service that is divided by key."""
        routes = self.view.routes
        declared = routes.services.get(service) if routes else None
        if declared is None or not declared.is_keyed:
            return None
        text = request.headers.get(self.names.key, "")
        if not text.isdecimal():
            return Rejection(ResultCode.KEY_MISSING, "the key is missing", True)
        return int(text)

    def terms_of(self, request: web.BaseRequest, route: Route, now: float) -> Terms:
        """Return deadline, goal and rank of a request.

        A caller that comes back has less time left than others of the route, from
        which the time that has passed since its first attempt is known.
        """
        text = request.headers.get(self.names.deadline_ms, "")
        deadline_s = min(
            float(text) / 1000 if text.isdecimal() else route.timeout_s,
            MAX_CALLER_DEADLINE_S,
        )
        full_s = max(self.full_deadlines.get(route.name, 0.0), deadline_s)
        self.full_deadlines[route.name] = full_s
        goal_s = route.goal_s - (full_s - deadline_s)
        return Terms(
            route.priority,
            goal_s <= 0,
            now + goal_s,
            now + min(deadline_s, route.timeout_s),
        )

    # Serving.

    async def serve(self, work: Work, route: Route, progress: Progress) -> Outcome:
        """Send a request until there is an answer or no way to get one."""
        budget = self.budgets.get(work.service)
        if budget is None:
            budget = self.budgets[work.service] = self.make_budget()
        budget.on_request(self.clock.now())
        now = self.clock.now()
        progress.wait_until = now + OWNER_WAIT_SHARE * (work.terms.deadline_at - now)
        while True:
            upstream = await self.place(work, progress)
            if upstream is None:
                message = f"no upstream of {work.service} can take the request"
                return Err(
                    progress.last
                    or Rejection(
                        ResultCode.NO_UPSTREAM, message, True, False, REFUSED_RETRY_S
                    )
                )
            outcome = await self.attempt(work, upstream, progress)
            if isinstance(outcome, Ok):
                return outcome
            rejection = outcome.err_value
            progress.last = self.combine(progress.last, rejection)
            self.tally.attempts[str(int(rejection.code))] += 1
            if not self.may_try_again(work, route, rejection, progress, budget):
                return Err(progress.last)
            if work.key is not None and rejection.code is ResultCode.NO_UPSTREAM:
                # The router of the only owner may be back in a moment.
                await asyncio.sleep(OWNER_PAUSE_S)
                progress.tried.clear()

    async def place(self, work: Work, progress: Progress) -> Upstream | None:
        """Return the upstream for a request, waiting for an owner of its key."""
        fleet = self.view.fleet
        if work.key is None:
            candidates = fleet.by_service.get(work.service, [])
            return self.choice.choose(candidates, progress.tried, self.clock.now())
        while True:
            row = fleet.row_of(work.service, work.key)
            owner = fleet.upstreams.get(row.owner) if row else None
            is_new = progress.stale_version < fleet.version
            if owner is not None and owner.instance not in progress.tried and is_new:
                return owner
            left_s = progress.wait_until - self.clock.now()
            if left_s <= 0 or not await self.view.changed.wait(left_s):
                return None

    async def attempt(
        self, work: Work, upstream: Upstream, progress: Progress
    ) -> Outcome:
        """Send a request to one upstream, through its router or directly."""
        progress.attempts += 1
        progress.tried.add(upstream.instance)
        self.choice.started(upstream)
        local = self.local
        try:
            beat = local.beat if local is not None else None
            if local is not None and beat and beat.instance == upstream.instance:
                outcome = await local.run(work, upstream.instance)
                self.choice.on_hint(upstream.instance, local.hint(), self.clock.now())
            else:
                outcome = await self.hops.run(work, upstream)
        finally:
            self.choice.finished(upstream)
        if isinstance(outcome, Ok):
            self.choice.on_success(upstream.instance)
        elif outcome.err_value.code in UPSTREAM_FAILURES:
            self.choice.on_failure(upstream.instance, self.clock.now())
        return outcome

    def combine(self, earlier: Rejection | None, latest: Rejection) -> Rejection:
        """Return the latest rejection, which promises no more than all allow."""
        if earlier is None or earlier.not_run:
            return latest
        return latest._replace(
            not_run=False, reached_upstream=True, code=ResultCode.OUTCOME_UNKNOWN
        )

    def may_try_again(
        self,
        work: Work,
        route: Route,
        rejection: Rejection,
        progress: Progress,
        budget: RepeatBudget,
    ) -> bool:
        """Return whether another attempt is allowed and has a chance."""
        if work.rest is not None:
            return False
        if not rejection.not_run and not work.repeatable:
            return False
        tries = 1 if work.key is not None else OVERFLOW_TRIES
        if rejection.code is ResultCode.OVERLOADED and progress.attempts >= tries:
            return False
        if rejection.code is ResultCode.NOT_OWNER:
            # The table may have changed while the request was on its way.
            progress.tried.clear()
            progress.stale_version = self.view.fleet.version
        now = self.clock.now()
        if not rejection.reached_upstream:
            if work.key is not None:
                return now < progress.wait_until
            return progress.attempts < MAX_TRIES
        expected_s = route.goal_s / 3
        if work.terms.deadline_at - now < expected_s:
            return False
        return progress.attempts < route.attempts and budget.try_spend(now)

    def on_timeout(self, progress: Progress) -> Rejection:
        """Return the rejection of a request whose time has passed."""
        message = f"no answer in time after {progress.attempts} attempts"
        return Rejection(ResultCode.UPSTREAM_TIMEOUT, message, False, True)

    # Responding.

    def log_answer(
        self, work: Work, route: Route, progress: Progress, began: float
    ) -> None:
        """Log a sample of the answers, and each that took several attempts."""
        number = self.tally.routes[route.name]
        if progress.attempts > 1 or number % SUCCESS_SAMPLE == 1:
            self.log.record(
                "answered",
                request=work.request_id,
                route=route.name,
                service=work.service,
                attempts=progress.attempts,
                after_ms=int((self.clock.now() - began) * 1000),
                sample=SUCCESS_SAMPLE,
            )

    async def respond_answer(
        self, request: web.BaseRequest, answer: Answer
    ) -> web.StreamResponse:
        """Pass an upstream's answer on as it is."""
        headers = CIMultiDict(answer.headers)
        if answer.rest is None:
            response = web.Response(
                status=answer.status, headers=headers, body=answer.body
            )
            if self.closing:
                response.force_close()
            return response
        stream = web.StreamResponse(status=answer.status, headers=headers)
        if self.closing:
            stream.force_close()
        await stream.prepare(request)
        try:
            await stream.write(answer.body)
            async for part in answer.rest:
                await stream.write(part)
        except Exception as error:
            # The caller must not take a part of an answer for the whole.
            if request.transport is not None:
                request.transport.abort()
            self.log.record("answer_cut", why=str(error))
            raise
        await stream.write_eof()
        return stream

    def respond_rejection(
        self, request_id: str, rejection: Rejection, route: Route | None
    ) -> web.Response:
        """Tell a caller why there is no answer, and when to come back."""
        default = NOT_RUN_STATUS if rejection.not_run else UNKNOWN_STATUS
        status = STATUS_OF.get(rejection.code, default)
        headers: CIMultiDict[str] = CIMultiDict()
        if request_id:
            headers[self.names.request_id] = request_id
        if status == NOT_RUN_STATUS:
            wait_s = rejection.retry_after_s or REFUSED_RETRY_S
            headers["Retry-After"] = f"{wait_s:.3f}"
        name = route.name if route else "-"
        text = f"{int(rejection.code)} {name}: {rejection.message}\n"
        response = web.Response(status=status, headers=headers, text=text)
        if self.closing:
            response.force_close()
        return response


UPSTREAM_FAILURES: Final = frozenset(
    {
        ResultCode.NO_UPSTREAM,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.ANSWER_INCOMPLETE,
    }
)
