"""Replicates the journal of at-most-once requests between routers."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import msgspec

from absl import logging
from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.journal.decision import Decision
from sassafraswharf.journal.decision import EventKind
from sassafraswharf.journal.decision import JournalDecision
from sassafraswharf.journal.intent import JournalKey
from sassafraswharf.journal.intent import RecordState
from sassafraswharf.journal.journal_quorum import JournalQuorum
from sassafraswharf.journal.journal_store import JournalStore
from sassafraswharf.journal.messages import decode_batch
from sassafraswharf.journal.messages import decode_reply
from sassafraswharf.journal.messages import encode
from sassafraswharf.leases.holder import NO_SESSION
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.router.answers import Answer
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.change_signal import ChangeSignal
from sassafraswharf.router.journal_answers import journal_failure
from sassafraswharf.router.journal_answers import refused_decision
from sassafraswharf.router.journal_answers import result_from_decision
from sassafraswharf.router.journal_answers import wait_timed_out


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from sassafraswharf.clock import Clock
    from sassafraswharf.failure import Failure
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.journal.messages import JournalBatch
    from sassafraswharf.journal.messages import JournalReply
    from sassafraswharf.journal.takeover import TakeOver
    from sassafraswharf.leases.holder import LeaseHolder
    from sassafraswharf.ownership.values import Ownership
    from sassafraswharf.router.incoming import IncomingRequest
    from sassafraswharf.router.peer_routers import PeerRouters
    from sassafraswharf.router.upstream_runner import RunResult
    from sassafraswharf.router.view import RouterView

    BeforeDispatch = Callable[[], Awaitable[Answer | None]]
    Run = Callable[[BeforeDispatch], Awaitable[RunResult]]


JOURNAL_PATH: Final = "/-/journal"
SEND_TIMEOUT_S: Final = 0.25
RETRY_DELAY_S: Final = 0.05
ADVANCE_INTERVAL_S: Final = 0.05
OUTCOME_RECORD_TIMEOUT_S: Final = 0.5
OUTCOME_STATES: Final = {
    OutcomeKind.ANSWER: RecordState.ANSWER,
    OutcomeKind.NOT_RUN: RecordState.NOT_RUN,
    OutcomeKind.MAY_HAVE_RUN: RecordState.INTENT,
}


class JournalCoordinator:
    """Owns the journal of this process and exchanges batches with peers.

    The decisions are made by ``JournalQuorum`` and ``TakeOver``, which do no I/O.
    This class sends their batches over HTTP and lets requests wait for their events.
    Until the cell has committed a new journal set, no intent counts, because a new
    owner would not know the set.
    """

    def __init__(
        self, view: RouterView, holder: LeaseHolder, peers: PeerRouters, clock: Clock
    ) -> None:
        """Start without a session."""
        self.view = view
        self.holder = holder
        self.peers = peers
        self.clock = clock
        self.store = JournalStore()
        self.quorum: JournalQuorum | None = None
        self.takeovers: list[TakeOver] = []
        self.decision_changed = ChangeSignal()
        self.event_futures: dict[JournalKey, asyncio.Future[ResultCode]] = {}
        self.send_tasks: set[asyncio.Task[Any]] = set()
        self.attempt_tasks: set[asyncio.Task[RunResult | None]] = set()
        self.paused_until: dict[SessionId, float] = {}
        self.pending_seals: set[tuple[int, SessionId]] = set()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that resends lost batches and expires attempts."""
        self.task = asyncio.create_task(self.run())

    async def drain(self, timeout_s: float) -> bool:
        """Wait until all attempts have ended; return False after ``timeout_s``.

        An attempt continues after its caller has disconnected, so the HTTP servers do
        not count it as an active request.
        """
        if not self.attempt_tasks:
            return True
        _, pending = await asyncio.wait(self.attempt_tasks, timeout=timeout_s)
        return not pending

    async def stop(self) -> None:
        """Cancel all attempts and exchanges."""
        tasks: list[asyncio.Task[Any]] = [*self.send_tasks, *self.attempt_tasks]
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self) -> None:
        """Resend batches and expire attempts until cancelled."""
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            try:
                self.advance()
            except Exception:
                logging.exception("the journal failed")

    def open_session(self, session: SessionId) -> None:
        """Switch to a session; attempts of the previous one can't be dispatched."""
        if session == NO_SESSION:
            self.quorum = None
        elif self.quorum is None or self.quorum.session != session:
            self.quorum = JournalQuorum(session, self.store)
            self.takeovers = []
        self.fail_waiting()
        self.decision_changed.notify()

    def fail_waiting(self) -> None:
        """Refuse all requests that wait for a journal event."""
        for future in self.event_futures.values():
            if not future.done():
                future.set_result(ResultCode.NOT_OWNER)
        self.event_futures.clear()

    def advance(self) -> None:
        """Expire attempts, send the batches that are due and dispatch events."""
        quorum = self.quorum
        if quorum is None:
            return
        now = self.clock.now()
        quorum.renewed(self.holder.expires_at)
        quorum.expire(now)
        for batch in quorum.take_batches(now):
            self.send(quorum, batch)
        for takeover in self.takeovers:
            takeover.advance(now)
            for batch in takeover.batches():
                self.send_seals(takeover, batch)
        self.dispatch_events(quorum)

    def dispatch_events(self, quorum: JournalQuorum) -> None:
        """Wake the requests that wait for the new events."""
        events = quorum.take_events()
        for event in events:
            future = self.event_futures.get(event.key)
            if future is None or future.done():
                continue
            failed = event.kind is EventKind.FAILED
            future.set_result(event.code if failed else ResultCode.OK)
        if events:
            self.decision_changed.notify()

    def send(self, quorum: JournalQuorum, batch: JournalBatch) -> None:
        """Send records in the background unless the member failed a moment ago."""
        if self.clock.now() < self.paused_until.get(batch.member, 0.0):
            quorum.on_send_failed(batch)
            return

        async def run() -> None:
            reply = await self.exchange(batch)
            if reply is None:
                quorum.on_send_failed(batch)
                return
            quorum.on_reply(batch, reply, self.clock.now())
            self.advance()

        self.run_in_background(run())

    def send_seals(self, takeover: TakeOver, batch: JournalBatch) -> None:
        """Send the seals of a takeover, one batch per member at a time.

        A reply applies to this takeover only: another takeover may have the same
        source and member for other slots, which the reply does not cover.
        """
        target = (id(takeover), batch.member)
        now = self.clock.now()
        if target in self.pending_seals or now < self.paused_until.get(
            batch.member, 0.0
        ):
            return

        async def run() -> None:
            try:
                reply = await self.exchange(batch)
            finally:
                self.pending_seals.discard(target)
            if reply is not None:
                takeover.on_reply(batch, reply, self.clock.now())
                self.advance()

        self.pending_seals.add(target)
        self.run_in_background(run())

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run an exchange in the background."""
        task = asyncio.create_task(work)
        self.send_tasks.add(task)
        task.add_done_callback(self.send_tasks.discard)

    async def exchange(self, batch: JournalBatch) -> JournalReply | None:
        """Send a batch to its member and return the reply, or None on failure."""
        session = self.view.sessions.get(batch.member)
        answer = None
        if session is not None:
            answer = await self.peers.send_signed(
                session,
                "POST",
                JOURNAL_PATH,
                {"Content-Type": "application/octet-stream"},
                encode(batch),
                SEND_TIMEOUT_S,
            )
        if answer is not None and answer.status == 200:
            reply = decode_reply(answer.body)
            if isinstance(reply, Ok):
                return reply.ok_value
        self.paused_until[batch.member] = self.clock.now() + RETRY_DELAY_S
        return None

    def handle_batch(self, body: bytes) -> bytes | Failure:
        """Apply the batch of another router and return the encoded reply."""
        batch = decode_batch(body)
        if isinstance(batch, Err):
            return batch.err_value
        reply = self.store.handle(batch.ok_value, self.clock.now())
        return encode(reply)

    def is_journal_set_committed(self) -> bool:
        """Return whether the cell has committed the journal set in use."""
        if self.quorum is None:
            return False
        session = self.view.sessions.get(self.quorum.session)
        generation = self.quorum.replication.generation
        return session is not None and session.generation == generation

    async def serve(
        self, request: IncomingRequest, ownership: Ownership, run: Run
    ) -> RunResult:
        """Run a request at most once, or answer it from its journal record."""
        key = JournalKey(
            request.classification.service,
            ownership.slot,
            request.idempotency_key or "",
        )
        digest = request.digest
        while True:
            decision = await self.decide(key, digest, request.deadline_at)
            if decision.decision is not Decision.RUN:
                return result_from_decision(decision)
            # A disconnecting caller must not cancel the recording of the outcome.
            task = asyncio.create_task(self.run_recorded(key, digest, request, run))
            self.attempt_tasks.add(task)
            task.add_done_callback(self.attempt_tasks.discard)
            result = await asyncio.shield(task)
            if result is not None:
                return result

    async def decide(
        self, key: JournalKey, digest: bytes, deadline_at: float
    ) -> JournalDecision:
        """Look up the key, waiting for a takeover or an earlier attempt to complete."""
        while True:
            quorum = self.quorum
            now = self.clock.now()
            if quorum is None:
                return refused_decision(ResultCode.LEASE_EXPIRED)
            decision = quorum.lookup(key, digest, now)
            in_force = self.is_journal_set_committed()
            if decision.decision is Decision.RUN and not in_force:
                if now >= deadline_at:
                    return refused_decision(ResultCode.NOT_OWNER)
            elif decision.decision is not Decision.WAIT:
                return decision
            elif now >= deadline_at:
                return wait_timed_out(quorum, key)
            self.advance()
            await self.decision_changed.wait(max(0.001, min(0.1, deadline_at - now)))

    async def run_recorded(
        self, key: JournalKey, digest: bytes, request: IncomingRequest, run: Run
    ) -> RunResult | None:
        """Record the intent, run the request and record its outcome.

        Return None if another attempt with the key began while this one waited for
        admission. The record then belongs to the other attempt: this one must not
        conclude it and has to look up the key again.
        """
        quorum = self.quorum
        has_begun = superseded = False

        async def before_dispatch() -> Answer | None:
            nonlocal has_begun, superseded
            now = self.clock.now()
            if quorum is None or quorum is not self.quorum:
                return refusal(journal_failure(ResultCode.NOT_OWNER))
            if quorum.lookup(key, digest, now).decision is not Decision.RUN:
                superseded = True
                return refusal(journal_failure(ResultCode.NOT_RUN))
            quorum.renewed(self.holder.expires_at)
            begun = quorum.begin(key, digest, request.deadline_at, now)
            if isinstance(begun, Err):
                return refusal(begun.err_value)
            has_begun = True
            return await self.await_intent(quorum, key, request.deadline_at)

        result = await run(before_dispatch)
        if quorum is not None and has_begun:
            await self.record_outcome(quorum, key, result)
        return None if superseded else result

    async def await_intent(
        self, quorum: JournalQuorum, key: JournalKey, deadline_at: float
    ) -> Answer | None:
        """Wait until the intent is replicated; return a refusal if it is not."""
        code = await self.wait_for_event(key, deadline_at - self.clock.now())
        if code is None:
            quorum.abandon(key, self.clock.now())
            return refusal(journal_failure(ResultCode.DEADLINE_EXPIRED))
        if code != ResultCode.OK:
            return refusal(journal_failure(code))
        while not self.is_journal_set_committed():
            remaining_s = deadline_at - self.clock.now()
            if quorum is not self.quorum or remaining_s <= 0:
                quorum.abandon(key, self.clock.now())
                return refusal(journal_failure(ResultCode.NOT_OWNER))
            await self.view.changed.wait(remaining_s)
        quorum.renewed(self.holder.expires_at)
        dispatched = quorum.dispatch(key, self.clock.now())
        if isinstance(dispatched, Err):
            return refusal(dispatched.err_value)
        return None

    async def record_outcome(
        self, quorum: JournalQuorum, key: JournalKey, result: RunResult
    ) -> None:
        """Record the outcome and wait briefly until it is replicated."""
        state = OUTCOME_STATES[result.kind]
        answer = b""
        if state is RecordState.ANSWER:
            answer = msgspec.msgpack.encode(result.answer)
        if quorum.conclude(key, state, answer, self.clock.now()):
            await self.wait_for_event(key, OUTCOME_RECORD_TIMEOUT_S)
        else:
            self.decision_changed.notify()

    async def wait_for_event(
        self, key: JournalKey, timeout_s: float
    ) -> ResultCode | None:
        """Wait for the next event of a key; None after ``timeout_s``."""
        future: asyncio.Future[ResultCode] = asyncio.get_running_loop().create_future()
        self.event_futures[key] = future
        self.advance()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            if self.event_futures.get(key) is future:
                del self.event_futures[key]
