"""The upstream on the router's host: lifecycle, admission control and dispatch."""

from __future__ import annotations

import asyncio

from functools import partial
from typing import TYPE_CHECKING
from typing import Final

from aiohttp import ClientPayloadError
from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.gateway.admission_queue import AdmissionQueue
from sassafraswharf.gateway.connection_pool import ConnectionPool
from sassafraswharf.gateway.connection_pool import keep_alive_timeout_s
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.message_text import response_headers
from sassafraswharf.gateway.streamed_answer import StreamedAnswer
from sassafraswharf.gateway.upstream_load import UpstreamLoad
from sassafraswharf.gateway.work import Answer
from sassafraswharf.gateway.work import LoadHint
from sassafraswharf.gateway.work import Rejection


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.crash_evidence import CrashEvidence
    from sassafraswharf.gateway.http_connection import HttpConnection
    from sassafraswharf.gateway.http_connection import ResponseHead
    from sassafraswharf.gateway.key_holds import KeyHolds
    from sassafraswharf.gateway.work import HeaderNames
    from sassafraswharf.gateway.work import Work


Outcome = Result[Answer, Rejection]

DRAIN_MARGIN_S: Final = 0.7
"""New requests stop this long before a draining upstream may reject them."""
CONNECT_BACKOFF_S: Final = 0.3
"""Requests go to other upstreams for this long after a failed connect."""
PROBE_DELAY_S: Final = 0.05
"""Delay of the probe after a lost connection: when a process dies, the kernel may
close its listening socket last."""
MISDIRECTED_STATUS: Final = 421
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that callers take as a promise that the request was not run."""
ADOPTED_SEQUENCE: Final = -1
"""Lower than the sequence number of any heartbeat."""
KEY_WAIT_SHARE: Final = 0.35
"""Share of the remaining time that a request waits for its key to be granted."""
FIRST_SERVER_ERROR: Final = 500


class QueuedRequest:
    """A request in the admission queue."""

    __slots__ = ("admission", "work")

    def __init__(self, work: Work) -> None:
        """Create the future ``admission``: True when admitted, False when rejected."""
        self.work = work
        self.admission: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )


class LocalUpstream:
    """Runs requests on the upstream of this host.

    It owns the connections to the upstream and its admission queue. Heartbeats
    identify the running instance, and every request names the instance it is for,
    so that a successor at the same address does not run it.
    """

    def __init__(
        self,
        address: tuple[str, int],
        names: HeaderNames,
        holds: KeyHolds,
        owns: Callable[[str, int, Instance], bool],
        clock: Clock,
        drain_s: float,
        crashes: CrashEvidence,
    ) -> None:
        """Prepare to serve the upstream at ``address`` after its first heartbeat.

        ``drain_s`` is how long a draining upstream still takes requests. ``owns``
        returns whether the fleet assigns a key of a service to an instance of the
        upstream, which is granted the key with its next heartbeat.
        """
        self.owns = owns
        self.drain_s = drain_s
        self.leaving_instance: Instance | None = None
        self.names = names
        self.holds = holds
        self.clock = clock
        self.pool = ConnectionPool(address, clock, names.request_id)
        self.queue: AdmissionQueue[QueuedRequest] = AdmissionQueue(1)
        self.beat: Heartbeat | None = None
        self.beat_at = 0.0
        self.draining_at = 0.0
        self.connect_backoff_until = 0.0
        self.ended_instances: set[Instance] = set()
        self.load = UpstreamLoad(clock)
        self.crashes = crashes
        self.gave_up = False
        self.probe_task: asyncio.Task[None] | None = None

    # Lifecycle of the upstream.

    def on_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Apply a newer heartbeat; a new instance means that the former has ended."""
        known = self.beat
        if known is not None and known.instance != beat.instance:
            self.on_end(known.instance, now)
        if beat.instance == self.leaving_instance:
            # Its heartbeats don't say that it drains; they go on until it exits.
            beat = beat._replace(draining=True)
        self.beat = beat
        self.beat_at = now
        if not beat.draining:
            self.draining_at = 0.0
        elif not self.draining_at:
            # If this router has never seen the upstream serve, its former process
            # may have acknowledged the drain before a restart.
            is_first = known is None or known.sequence == ADOPTED_SEQUENCE
            self.draining_at = now - self.drain_s if is_first else now
        if self.queue.limit != max(beat.slots, 1):
            self.queue.limit = max(beat.slots, 1)
            self.start_queued()

    def adopt(self, upstream: Upstream, now: float) -> None:
        """Use the fleet's record of an upstream until its first heartbeat."""
        self.on_heartbeat(
            Heartbeat(
                upstream.instance,
                upstream.service,
                self.pool.address,
                upstream.slots,
                upstream.draining,
                0.0,
                ADOPTED_SEQUENCE,
            ),
            now,
        )

    def on_leave(self, instance: Instance, now: float) -> None:
        """Start to drain an upstream that deregisters.

        A ``started_ms`` of 0 means the current instance. The message of an earlier
        instance may arrive after a successor has started under the same name.
        """
        beat = self.beat
        if beat is None or beat.instance.name != instance.name:
            return
        if instance.started_ms not in {0, beat.instance.started_ms}:
            return
        self.leaving_instance = beat.instance
        self.beat = beat._replace(draining=True)
        self.draining_at = self.draining_at or now

    @property
    def is_adopted(self) -> bool:
        """Return whether the upstream is known from the fleet's record only."""
        return self.beat is not None and self.beat.sequence == ADOPTED_SEQUENCE

    def on_fleet_drain(self, instance: Instance, now: float) -> None:
        """Apply a drain that the fleet reports, whose start is unknown."""
        beat = self.beat
        if beat is None or beat.instance != instance or self.draining_at:
            return
        self.leaving_instance = instance
        self.beat = beat._replace(draining=True)
        self.draining_at = now - self.drain_s

    def is_open(self, now: float) -> bool:
        """Return whether new requests may be sent to the upstream.

        A draining upstream still takes requests for a while, until the other
        routers know of the drain and its keys have moved.
        """
        if self.beat is None or self.gave_up or self.connect_backoff_until > now:
            return False
        if not self.draining_at:
            return True
        return now - self.draining_at < self.drain_s - DRAIN_MARGIN_S

    # Requests.

    async def run(self, work: Work, instance: Instance) -> Outcome:
        """Run a request on the given instance of the upstream."""
        now = self.clock.now()
        beat = self.beat
        if beat is None or beat.instance != instance:
            return Err(
                self.unsent_rejection(
                    ResultCode.NO_UPSTREAM, "another upstream is here"
                )
            )
        if not self.is_open(now):
            return Err(
                self.unsent_rejection(ResultCode.NO_UPSTREAM, "the upstream is leaving")
            )
        if work.key is not None:
            if not await self.wait_for_key(work, instance):
                return Err(
                    self.unsent_rejection(ResultCode.NOT_OWNER, "the key is not held")
                )
            self.load.on_key(work.key)
        queued = QueuedRequest(work)
        if not await self.wait_for_admission(queued, now):
            wait_s = self.queue.retry_after_s()
            return Err(
                self.unsent_rejection(
                    ResultCode.OVERLOADED, "the queue is too long", wait_s
                )
            )
        started_at = self.clock.now()
        is_success = False
        streamed: StreamedAnswer | None = None
        try:
            if not self.is_open(started_at):
                code = ResultCode.NO_UPSTREAM
                return Err(self.unsent_rejection(code, "the upstream has left"))
            outcome = await self.dispatch(work, instance)
            if isinstance(outcome, Ok):
                is_success = outcome.ok_value.status < FIRST_SERVER_ERROR
                streamed = outcome.ok_value.rest
            return outcome
        finally:
            # A streamed answer occupies its slot until its end.
            if streamed is None:
                self.finish_request(started_at, is_success, True)
            else:
                streamed.on_end = partial(self.finish_request, started_at, is_success)

    def finish_request(self, started_at: float, is_success: bool, whole: bool) -> None:
        """Free the slot of a request; only complete answers count as service time."""
        service_s = self.clock.now() - started_at
        self.load.on_end(started_at)
        self.queue.finish(service_s if is_success and whole else None)
        self.start_queued()

    async def wait_for_key(self, work: Work, instance: Instance) -> bool:
        """Wait until the upstream holds the key, if the fleet assigns it the key."""
        key = work.key
        if key is None:
            return True
        now = self.clock.now()
        until = now + KEY_WAIT_SHARE * (work.terms.deadline_at - now)
        while not self.holds.holds_key(key, now):
            if self.is_adopted and self.owns(work.service, key, instance):
                return True
            if not self.owns(work.service, key, instance) or now >= until:
                return False
            if self.gave_up:
                return False
            await self.holds.changed.wait(until - now)
            now = self.clock.now()
        return True

    async def wait_for_admission(self, queued: QueuedRequest, now: float) -> bool:
        """Wait in the admission queue; return False if the request is rejected."""
        self.reject_all(self.queue.offer(queued, queued.work.terms, now))
        self.start_queued()
        if queued.admission.done():
            return queued.admission.result()
        try:
            return await queued.admission
        except asyncio.CancelledError:
            admission = queued.admission
            has_slot = (
                admission.done() and not admission.cancelled() and admission.result()
            )
            if not self.queue.withdraw(queued) and has_slot:
                self.queue.finish(None)
                self.start_queued()
            raise

    def start_queued(self) -> None:
        """Start queued requests up to the limit of concurrent requests."""
        self.reject_all(self.queue.prune(self.clock.now()))
        while (queued := self.queue.start_next()) is not None:
            if queued.admission.done():
                self.queue.finish(None)
                continue
            queued.admission.set_result(True)

    def give_up(self) -> None:
        """Reject requests that wait for admission or a key, and all later ones."""
        self.gave_up = True
        self.reject_all(self.queue.withdraw_all())
        self.holds.changed.notify()

    def reject_all(self, rejected: list[QueuedRequest]) -> None:
        """Reject queued requests."""
        for one in rejected:
            if not one.admission.done():
                one.admission.set_result(False)

    async def dispatch(self, work: Work, instance: Instance) -> Outcome:
        """Send a request to the upstream and read its answer."""
        try:
            connection = await self.pool.acquire()
        except (OSError, TimeoutError) as error:
            self.on_unreachable(error)
            return Err(
                self.unsent_rejection(ResultCode.NO_UPSTREAM, "the upstream is down")
            )
        try:
            return await self.exchange(connection, work, instance)
        except ExchangeError as error:
            if error.sent:
                self.on_lost(work)
            code = ResultCode.OUTCOME_UNKNOWN
            return Err(Rejection(code, error.reason, not error.sent, error.sent))
        except ClientPayloadError:
            self.on_lost(work)
            code = ResultCode.ANSWER_INCOMPLETE
            return Err(Rejection(code, "the answer was cut short", False, True))
        finally:
            if not connection.is_idle and not connection.owned_by_response:
                connection.abort()

    async def exchange(
        self, connection: HttpConnection, work: Work, instance: Instance
    ) -> Outcome:
        """Send a request on a connection and return its outcome."""
        left_s = work.terms.deadline_at - self.clock.now()
        if left_s <= 0:
            self.pool.release(connection)
            return Err(
                self.unsent_rejection(ResultCode.DEADLINE_EXPIRED, "no time is left")
            )
        fields = (
            *work.headers,
            (self.names.deadline_ms, str(max(1, int(left_s * 1000)))),
            (self.names.instance, instance.name),
            (self.names.origin, work.origin),
        )
        response = await connection.run(work, fields, work.request_id)
        body, rest = await read_body(response.content)
        self.crashes.on_answer()
        if rest is not None:
            streamed = StreamedAnswer(connection, rest)
            return Ok(
                Answer(response.status, response_headers(response), body, streamed)
            )
        self.pool.release(connection, keep_alive_timeout_s(response))
        return self.classify(work, response, body)

    def classify(self, work: Work, response: ResponseHead, body: bytes) -> Outcome:
        """Return an answer, or a rejection if its status means "not run"."""
        status = response.status
        if self.names.not_run in response.headers or status == MISDIRECTED_STATUS:
            code = (
                ResultCode.NOT_OWNER
                if status == MISDIRECTED_STATUS
                else ResultCode.OVERLOADED
            )
            wait_s = self.queue.retry_after_s()
            message = f"the upstream refused with status {status}"
            return Err(Rejection(code, message, True, True, wait_s))
        if status in NOT_RUN_STATUSES and not work.repeatable:
            # The status would tell the caller that the request was not run, but the
            # upstream has not promised it by header.
            message = f"status {status} without a promise"
            return Err(Rejection(ResultCode.OUTCOME_UNKNOWN, message, False, True))
        return Ok(Answer(status, response_headers(response), body))

    def unsent_rejection(
        self, code: ResultCode, message: str, retry_after_s: float = 0.0
    ) -> Rejection:
        """Return the rejection of a request that was not sent to the upstream."""
        return Rejection(code, message, True, False, retry_after_s)

    def on_lost(self, work: Work) -> None:
        """Probe the upstream's process after a connection was lost."""
        self.crashes.on_lost(work)
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.create_task(self.probe_process())

    async def probe_process(self) -> None:
        """Connect again, after a process that dies has closed its listening socket."""
        await asyncio.sleep(PROBE_DELAY_S)
        try:
            await self.pool.probe()
        except (OSError, TimeoutError) as error:
            self.on_unreachable(error)

    def on_unreachable(self, error: BaseException) -> None:
        """Handle a failed connect.

        A refused connection means that nothing listens at the address any more,
        so the process has ended.
        """
        now = self.clock.now()
        self.connect_backoff_until = now + CONNECT_BACKOFF_S
        if isinstance(error, ConnectionRefusedError) and self.beat is not None:
            self.on_end(self.beat.instance, now)
            self.beat = None

    def on_end(self, instance: Instance, now: float) -> None:
        """Record that an instance of the upstream has ended."""
        self.ended_instances.add(instance)
        self.crashes.on_end(instance, now)

    # Load.

    def hint(self) -> LoadHint:
        """Return the current load of the upstream."""
        queue = self.queue
        return LoadHint(queue.running, len(queue.waiting), queue.limit, queue.service_s)
