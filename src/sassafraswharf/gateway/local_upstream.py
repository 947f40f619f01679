"""The upstream beside the router: admission, dispatch and what it measures."""

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
from sassafraswharf.gateway.long_answer import LongAnswer
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.message_text import response_headers
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
"""Requests stop this much before a draining upstream may refuse them."""
DOWN_S: Final = 0.3
"""After a refused connection, requests are sent elsewhere for this long."""
EXAMINE_AFTER_S: Final = 0.05
"""The kernel closes the listening socket of a process that dies possibly last."""
MISDIRECTED: Final = 421
PROMISING_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that the request has not run."""
ADOPTED_SEQUENCE: Final = -1
"""Before that of any heartbeat."""
KEY_WAIT_SHARE: Final = 0.35
"""Share of the time left for which a request waits for a key that is on its way."""
SERVER_ERROR: Final = 500


class Admitted:
    """One request that waits for its turn."""

    __slots__ = ("turn", "work")

    def __init__(self, work: Work) -> None:
        """Start to wait; ``turn`` gets True, or False for a refusal."""
        self.work = work
        self.turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class LocalUpstream:
    """Runs requests on the upstream of this host.

    It owns the connections to the upstream and the queue before it. The life of
    the upstream is known from its heartbeats; every request names it, so that a
    successor at the same address does not run what was meant for it.
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
        """Prepare to serve the upstream at ``address`` once it was announced.

        ``drain_s`` is how long a leaving upstream takes requests. ``owns`` tells
        whether the fleet assigns a key of a service to a life of the upstream,
        which then gets it with its next heartbeat.
        """
        self.owns = owns
        self.drain_s = drain_s
        self.left: Instance | None = None
        self.names = names
        self.holds = holds
        self.clock = clock
        self.pool = ConnectionPool(address, clock, names.request_id)
        self.queue: AdmissionQueue[Admitted] = AdmissionQueue(1)
        self.beat: Heartbeat | None = None
        self.beat_at = 0.0
        self.draining_at = 0.0
        self.down_until = 0.0
        self.ended: set[Instance] = set()
        self.load = UpstreamLoad(clock)
        self.crashes = crashes
        self.gave_up = False
        self.examination: asyncio.Task[None] | None = None

    # The life of the upstream.

    def on_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Take a newer heartbeat; the end of an earlier life is remembered."""
        known = self.beat
        if known is not None and known.instance != beat.instance:
            self.on_end(known.instance, now)
        if beat.instance == self.left:
            # It goes on to announce itself as it was until it exits.
            beat = beat._replace(draining=True)
        self.beat = beat
        self.beat_at = now
        if not beat.draining:
            self.draining_at = 0.0
        elif not self.draining_at:
            # A process that has never heard the upstream serve may have restarted
            # after its predecessor acknowledged the drain.
            is_first = known is None or known.sequence == ADOPTED_SEQUENCE
            self.draining_at = now - self.drain_s if is_first else now
        if self.queue.limit != max(beat.slots, 1):
            self.queue.limit = max(beat.slots, 1)
            self.start_waiting()

    def adopt(self, upstream: Upstream, now: float) -> None:
        """Take an upstream as the fleet knows it, until its first heartbeat."""
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
        """Stop new work for an upstream that is leaving.

        A life that is not told (0) is the present one. The message of an earlier
        life may arrive after its successor has started under the same name.
        """
        beat = self.beat
        if beat is None or beat.instance.name != instance.name:
            return
        if instance.born not in {0, beat.instance.born}:
            return
        self.left = beat.instance
        self.beat = beat._replace(draining=True)
        self.draining_at = self.draining_at or now

    @property
    def is_adopted(self) -> bool:
        """Return whether no heartbeat has come since the router started."""
        return self.beat is not None and self.beat.sequence == ADOPTED_SEQUENCE

    def on_fleet_drain(self, instance: Instance, now: float) -> None:
        """Take the fleet's word that the upstream drains, since an unknown time."""
        beat = self.beat
        if beat is None or beat.instance != instance or self.draining_at:
            return
        self.left = instance
        self.beat = beat._replace(draining=True)
        self.draining_at = now - self.drain_s

    def is_open(self, now: float) -> bool:
        """Return whether new requests may be sent to the upstream.

        One that is leaving still takes requests for a while, until the other
        routers know it and its keys have moved.
        """
        if self.beat is None or self.gave_up or self.down_until > now:
            return False
        if not self.draining_at:
            return True
        return now - self.draining_at < self.drain_s - DRAIN_MARGIN_S

    # Requests.

    async def run(self, work: Work, instance: Instance) -> Outcome:
        """Run a request on the given life of the upstream."""
        now = self.clock.now()
        beat = self.beat
        if beat is None or beat.instance != instance:
            return Err(self.refuse(ResultCode.NO_UPSTREAM, "another upstream is here"))
        if not self.is_open(now):
            return Err(self.refuse(ResultCode.NO_UPSTREAM, "the upstream is leaving"))
        if work.key is not None:
            if not await self.wait_for_key(work, instance):
                return Err(self.refuse(ResultCode.NOT_OWNER, "the key is not held"))
            self.load.on_key(work.key)
        admitted = Admitted(work)
        if not await self.wait_for_turn(admitted, now):
            wait_s = self.queue.retry_after_s()
            return Err(
                self.refuse(ResultCode.OVERLOADED, "the queue is too long", wait_s)
            )
        started_at = self.clock.now()
        is_success = False
        long: LongAnswer | None = None
        try:
            if not self.is_open(started_at):
                code = ResultCode.NO_UPSTREAM
                return Err(self.refuse(code, "the upstream has left"))
            outcome = await self.dispatch(work, instance)
            if isinstance(outcome, Ok):
                is_success = outcome.ok_value.status < SERVER_ERROR
                long = outcome.ok_value.rest
            return outcome
        finally:
            # The upstream is at work on a long answer until its end.
            if long is None:
                self.end(started_at, is_success, True)
            else:
                long.on_end = partial(self.end, started_at, is_success)

    def end(self, started_at: float, is_success: bool, whole: bool) -> None:
        """Free the slot of a request; only whole answers tell the speed."""
        service_s = self.clock.now() - started_at
        self.load.on_end(started_at)
        self.queue.finish(service_s if is_success and whole else None)
        self.start_waiting()

    async def wait_for_key(self, work: Work, instance: Instance) -> bool:
        """Wait until the upstream holds the key, if it is the one to get it."""
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

    async def wait_for_turn(self, admitted: Admitted, now: float) -> bool:
        """Wait in the queue; return False when the request is refused."""
        self.refuse_all(self.queue.offer(admitted, admitted.work.terms, now))
        self.start_waiting()
        if admitted.turn.done():
            return admitted.turn.result()
        try:
            return await admitted.turn
        except asyncio.CancelledError:
            turn = admitted.turn
            has_slot = turn.done() and not turn.cancelled() and turn.result()
            if not self.queue.withdraw(admitted) and has_slot:
                self.queue.finish(None)
                self.start_waiting()
            raise

    def start_waiting(self) -> None:
        """Let waiting requests start as far as the limit allows."""
        self.refuse_all(self.queue.prune(self.clock.now()))
        while (admitted := self.queue.start_next()) is not None:
            if admitted.turn.done():
                self.queue.finish(None)
                continue
            admitted.turn.set_result(True)

    def give_up(self) -> None:
        """Refuse what waits for its turn or its key, and whatever comes."""
        self.gave_up = True
        self.refuse_all(self.queue.withdraw_all())
        self.holds.changed.notify()

    def refuse_all(self, refused: list[Admitted]) -> None:
        """Tell waiting requests that they can't be answered in time."""
        for one in refused:
            if not one.turn.done():
                one.turn.set_result(False)

    async def dispatch(self, work: Work, instance: Instance) -> Outcome:
        """Send a request to the upstream and read its answer."""
        try:
            connection = await self.pool.acquire()
        except (OSError, TimeoutError) as error:
            self.on_unreachable(error)
            return Err(self.refuse(ResultCode.NO_UPSTREAM, "the upstream is down"))
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
        """Run one exchange on a connection."""
        left_s = work.terms.deadline_at - self.clock.now()
        if left_s <= 0:
            self.pool.release(connection)
            return Err(self.refuse(ResultCode.DEADLINE_EXPIRED, "no time is left"))
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
            long = LongAnswer(connection, rest)
            return Ok(Answer(response.status, response_headers(response), body, long))
        self.pool.release(connection, keep_alive_timeout_s(response))
        return self.classify(work, response, body)

    def classify(self, work: Work, response: ResponseHead, body: bytes) -> Outcome:
        """Tell an answer from a promise that the request was not run."""
        status = response.status
        if self.names.not_run in response.headers or status == MISDIRECTED:
            code = (
                ResultCode.NOT_OWNER if status == MISDIRECTED else ResultCode.OVERLOADED
            )
            wait_s = self.queue.retry_after_s()
            message = f"the upstream refused with status {status}"
            return Err(Rejection(code, message, True, True, wait_s))
        if status in PROMISING_STATUSES and not work.repeatable:
            # The upstream doesn't say that it has not run the request, but the
            # status would tell the caller so.
            message = f"status {status} without a promise"
            return Err(Rejection(ResultCode.OUTCOME_UNKNOWN, message, False, True))
        return Ok(Answer(status, response_headers(response), body))

    def refuse(
        self, code: ResultCode, message: str, retry_after_s: float = 0.0
    ) -> Rejection:
        """Return a rejection of a request that the upstream has not seen."""
        return Rejection(code, message, True, False, retry_after_s)

    def on_lost(self, work: Work) -> None:
        """Find out whether the upstream has ended after a connection was lost."""
        self.crashes.on_lost(work)
        if self.examination is None or self.examination.done():
            self.examination = asyncio.create_task(self.examine())

    async def examine(self) -> None:
        """Connect once more, when a process that dies no longer listens."""
        await asyncio.sleep(EXAMINE_AFTER_S)
        try:
            await self.pool.probe()
        except (OSError, TimeoutError) as error:
            self.on_unreachable(error)

    def on_unreachable(self, error: BaseException) -> None:
        """Note that the process of the upstream has ended, if it has.

        A refused connection means that nothing listens at the address any more.
        """
        now = self.clock.now()
        self.down_until = now + DOWN_S
        if isinstance(error, ConnectionRefusedError) and self.beat is not None:
            self.on_end(self.beat.instance, now)
            self.beat = None

    def on_end(self, instance: Instance, now: float) -> None:
        """Remember that a life of the upstream has ended."""
        self.ended.add(instance)
        self.crashes.on_end(instance, now)

    # Measures.

    def hint(self) -> LoadHint:
        """Return how busy the upstream is now."""
        queue = self.queue
        return LoadHint(queue.running, len(queue.waiting), queue.limit, queue.service_s)
