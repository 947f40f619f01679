"""Admits and dispatches requests to one local upstream within its limits."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from multidict import CIMultiDict

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.requests.admission import Admission
from sassafraswharf.requests.admission import Verdict
from sassafraswharf.requests.deadline import dispatch_deadline
from sassafraswharf.requests.deadline import remaining_ms
from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import Exchange
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.router import headers
from sassafraswharf.router.answers import Answer
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.http_exchange import HttpAnswer
from sassafraswharf.router.http_exchange import HttpPeer


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.membership.values import Upstream
    from sassafraswharf.requests.outcome import Outcome
    from sassafraswharf.router.crash_detector import CrashDetector
    from sassafraswharf.router.incoming import IncomingRequest
    from sassafraswharf.router.incoming import RequestIds
    from sassafraswharf.router.permit import Permit

    BeforeDispatch = Callable[[], Awaitable[Answer | None]]


RESERVED_CONNECTIONS: Final = 2
"""Declared connections that requests don't use: one of the pool for grants, drains
and health probes, and one outside the pool for the connect probe. If requests used
the whole pool, a grant would wait for the slowest one, and a busy upstream would
look unresponsive.
"""
WARM_CONNECTIONS: Final = 2
"""Connections kept open while idle; opening a new one takes about 1 ms."""
WARM_TIMEOUT_S: Final = 0.4
MAX_HEALTH_BYTES: Final = 65_536
REFUSAL_MESSAGES: Final = {
    ResultCode.NOT_RUN: "the upstream did not run the request",
    ResultCode.NO_UPSTREAM: "the upstream refuses connections",
    ResultCode.OUTCOME_UNKNOWN: "the connection to the upstream was lost",
    ResultCode.ANSWER_INCOMPLETE: "the answer of the upstream was cut short",
    ResultCode.UPSTREAM_TIMEOUT: "the upstream did not answer in time",
}

POSSIBLE_CRASH_EXCHANGES: Final = frozenset(
    {Exchange.CONNECTION_LOST, Exchange.CUT_SHORT}
)


class RunResult(NamedTuple):
    """The answer for the caller and what is known about the run.

    ``crashed`` is set if the upstream process exited during the run.
    """

    answer: Answer
    kind: OutcomeKind
    upstream_failed: bool = False
    crashed: bool = False


class UpstreamRunner:
    """Admission control and dispatch for one upstream.

    All requests to the upstream go through this router, so it knows exactly what is
    in flight. Concurrent requests are bounded by the limit of admission control and
    by the declared connections less the reserved ones.
    """

    def __init__(
        self,
        upstream: Upstream,
        nested_levels: int,
        clock: Clock,
        ids: RequestIds,
        crash_detector: CrashDetector,
    ) -> None:
        """Start with empty queues; connections are opened on demand and kept alive."""
        self.upstream = upstream
        self.clock = clock
        self.ids = ids
        self.crash_detector = crash_detector
        usable = upstream.connections - RESERVED_CONNECTIONS
        slots = max(1, min(upstream.slots, usable))
        self.admission = Admission(slots, nested_levels)
        self.pool_size = max(1, upstream.connections - 1)
        self.peer = HttpPeer(upstream.address, self.pool_size)
        self.start_futures: dict[int, asyncio.Future[bool]] = {}
        self.running: dict[int, float] = {}
        self.running_slots: dict[int, int] = {}
        self.served_by_slot: Counter[int] = Counter()
        self.last_answer_at = clock.now()
        self.lost = False
        self.leaving = False
        self.liveness_unknown = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.expiry_timer: asyncio.TimerHandle | None = None

    async def close(self) -> None:
        """Refuse the waiting requests and close the connections."""
        self.reject_waiting()
        await self.peer.close()

    @property
    def is_probe_delayed(self) -> bool:
        """Whether a probe would wait for a connection that a request uses."""
        return len(self.running) >= self.pool_size

    async def keep_warm(self) -> None:
        """Send concurrent health requests, so that a few connections stay open.

        This also replaces connections that the upstream has closed. The answers are
        ignored.
        """
        count = 0 if self.running else min(WARM_CONNECTIONS, self.pool_size)
        await asyncio.gather(
            *(
                self.peer.send(
                    "GET", "/-/health", {}, b"", WARM_TIMEOUT_S, MAX_HEALTH_BYTES
                )
                for _ in range(count)
            )
        )

    def reject_waiting(self) -> None:
        """Refuse all waiting requests as not run."""
        self.resolve(self.admission.withdraw_all(), may_start=False)

    async def run(
        self,
        request: IncomingRequest,
        permit: Permit,
        *,
        solo: bool,
        before_dispatch: BeforeDispatch | None = None,
    ) -> RunResult:
        """Admit the request, send it and return the complete answer or a refusal.

        ``before_dispatch`` records the intent of a journaled request. It may still
        refuse the request by returning an answer.
        """
        refused = await self.admit(request, solo=solo)
        if refused is not None:
            return RunResult(refused, OutcomeKind.NOT_RUN)
        result, exchange = await self.run_admitted(
            request, permit, before_dispatch, solo=solo
        )
        if exchange in POSSIBLE_CRASH_EXCHANGES:
            await self.crash_detector.on_connection_lost(self, request.request_id)
            return result._replace(crashed=self.lost)
        if result.upstream_failed:
            self.crash_detector.start_probe(self)
        return result

    async def run_admitted(
        self,
        request: IncomingRequest,
        permit: Permit,
        before_dispatch: BeforeDispatch | None,
        *,
        solo: bool,
    ) -> tuple[RunResult, Exchange]:
        """Send an admitted request and free its slot afterwards."""
        started_at = self.clock.now()
        request_id = request.request_id
        self.running[request_id] = started_at
        self.running_slots[request_id] = permit.slot
        self.served_by_slot[permit.slot] += 1
        self.idle.clear()
        exchange = Exchange.CANCELLED_BEFORE_SEND
        try:
            refused = None if before_dispatch is None else await before_dispatch()
            if refused is not None:
                return RunResult(refused, OutcomeKind.NOT_RUN), exchange
            await self.crash_detector.wait_for_probe(self)
            exchange = Exchange.CANCELLED
            name = self.upstream.upstream
            self.crash_detector.on_request_started(
                name, request_id, request.digest, alone=solo
            )
            http = await self.dispatch(request, permit)
            if isinstance(http, Answer):
                exchange = Exchange.NOTHING_SENT
                return RunResult(http, OutcomeKind.NOT_RUN), exchange
            exchange = http.exchange
            if self.is_stale(request, permit, exchange):
                return self.stale_answer(), exchange
            return self.to_run_result(http, OUTCOMES[exchange]), exchange
        finally:
            if exchange in POSSIBLE_CRASH_EXCHANGES:
                # Delay new requests, so that this crash is not attributed to them.
                self.liveness_unknown = True
            else:
                self.crash_detector.on_request_finished(
                    self.upstream.upstream, request_id
                )
            self.finish_run(request_id, OUTCOMES[exchange], started_at)

    async def admit(self, request: IncomingRequest, *, solo: bool) -> Answer | None:
        """Wait for a slot; return a refusal if none is free in time."""
        now = self.clock.now()
        decision = self.admission.offer(request.request_id, request.facts, now, solo)
        if decision.verdict is Verdict.RUN:
            return None
        if decision.verdict is Verdict.EXPIRED:
            return deadline_expired()
        if decision.verdict is Verdict.REFUSE:
            failure = Failure(
                ResultCode.OVERLOADED, f"{self.upstream.upstream} is overloaded"
            )
            return refusal(failure, retry_after_s=decision.retry_after_s)
        start: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.start_futures[request.request_id] = start
        self.schedule_expiry()
        try:
            may_start = await start
        except asyncio.CancelledError:
            now = self.clock.now()
            self.resolve(self.admission.cancelled(request.request_id, now))
            raise
        finally:
            self.start_futures.pop(request.request_id, None)
        return None if may_start else self.not_started_answer(request)

    def not_started_answer(self, request: IncomingRequest) -> Answer:
        """Return the refusal for a request that was never started."""
        if request.deadline_at <= self.clock.now():
            return deadline_expired()
        return refusal(Failure(ResultCode.NOT_OWNER, "the slots are being moved"))

    async def dispatch(
        self, request: IncomingRequest, permit: Permit
    ) -> HttpAnswer | Answer:
        """Check the permit again, then send the request."""
        if not permit.is_valid():
            return refusal(
                Failure(ResultCode.LEASE_EXPIRED, "the right to the slot has ended")
            )
        now = self.clock.now()
        deadline_at = request.deadline_at
        if not self.upstream.checks_grants and permit.ownership is not None:
            # Only the deadline stops such an upstream after the lease has expired. A
            # request that any upstream may run needs no fencing.
            deadline_at = dispatch_deadline(deadline_at, permit.lease_expires_at)
        timeout_s = deadline_at - now
        if timeout_s <= 0:
            return deadline_expired()
        fields = headers.end_to_end(request.headers.items())
        if permit.epoch:
            fields += [
                (headers.EPOCH, str(permit.epoch)),
                (headers.SLOT, str(permit.slot)),
            ]
        fields += [
            (headers.DEADLINE_MS, str(remaining_ms(deadline_at, now))),
            (
                headers.REQUEST_ID,
                self.ids.create(request.request_id, request.nested_depth),
            ),
        ]
        return await self.peer.send(
            request.method,
            request.target,
            CIMultiDict(fields),
            request.body,
            timeout_s,
            request.classification.max_body_bytes,
        )

    def is_stale(
        self, request: IncomingRequest, permit: Permit, exchange: Exchange
    ) -> bool:
        """Return whether another owner may have changed the data of a lookup.

        The answer to an at-most-once request remains correct: it reports a run that
        began under a valid lease.
        """
        if exchange is not Exchange.ANSWERED or not request.classification.repeatable:
            return False
        return not permit.is_current()

    def stale_answer(self) -> RunResult:
        """Return the result of a lookup that was answered after the slot was lost."""
        name = self.upstream.upstream
        failure = Failure(
            ResultCode.OUTCOME_UNKNOWN, f"{name} answered after it had lost the slot"
        )
        return RunResult(refusal(failure), OutcomeKind.MAY_HAVE_RUN, True)

    def to_run_result(self, http: HttpAnswer, outcome: Outcome) -> RunResult:
        """Return the answer of the upstream, or a refusal that reports the outcome."""
        if outcome.kind is OutcomeKind.ANSWER:
            fields = headers.end_to_end(http.headers.items())
            answer = Answer(ResultCode.OK, http.status, fields, http.body)
            return RunResult(answer, outcome.kind)
        message = REFUSAL_MESSAGES.get(outcome.code, "the request was not completed")
        failure = Failure(outcome.code, f"{self.upstream.upstream}: {message}")
        return RunResult(refusal(failure), outcome.kind, outcome.upstream_failed)

    def finish_run(self, request_id: int, outcome: Outcome, started_at: float) -> None:
        """Free the slot and start waiting requests."""
        now = self.clock.now()
        self.running.pop(request_id, None)
        self.running_slots.pop(request_id, None)
        if outcome.kind is OutcomeKind.ANSWER:
            self.last_answer_at = now
        if not self.running:
            self.idle.set()
        self.resolve(
            self.admission.finished(request_id, now - started_at, outcome, now)
        )

    def resolve(self, request_ids: list[int], *, may_start: bool = True) -> None:
        """Wake waiting requests, either to start or to be refused."""
        for request_id in request_ids:
            start = self.start_futures.get(request_id)
            if start is not None and not start.done():
                start.set_result(may_start)
        self.resolve_expired()

    def resolve_expired(self) -> None:
        """Wake the waiting requests whose deadline has passed."""
        for request_id in self.admission.expire(self.clock.now()):
            start = self.start_futures.get(request_id)
            if start is not None and not start.done():
                start.set_result(False)

    def schedule_expiry(self) -> None:
        """Set a timer for the earliest deadline of a waiting request."""
        if self.expiry_timer is not None:
            return
        next_at = self.admission.next_expiry_at
        if next_at is None:
            return
        delay_s = max(0.0, next_at - self.clock.now())
        loop = asyncio.get_running_loop()
        self.expiry_timer = loop.call_later(delay_s, self.on_expiry)

    def on_expiry(self) -> None:
        """Expire the requests that are due and set the timer for the next deadline."""
        self.expiry_timer = None
        self.resolve_expired()
        self.schedule_expiry()


def deadline_expired() -> Answer:
    """Return the refusal for a request whose deadline has passed."""
    failure = Failure(ResultCode.DEADLINE_EXPIRED, "the deadline passed before a start")
    return refusal(failure)
