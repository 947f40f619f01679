"""Simulated routers that share one slot over a network that loses and reorders.

The simulation runs the journal logic in virtual time. Each method is one step, so
that a test or a random walk can kill, freeze or isolate a router between any
two of them. The lease of a closed session stays valid here until the retention
time has passed, so only the journal can prevent a second run until then.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.journal.decision import Decision
from sassafraswharf.journal.decision import EventKind
from sassafraswharf.journal.intent import JournalKey
from sassafraswharf.journal.intent import RecordState
from sassafraswharf.journal.journal_quorum import JournalQuorum
from sassafraswharf.journal.journal_store import JournalStore
from sassafraswharf.journal.messages import JournalBatch
from sassafraswharf.journal.messages import JournalReply
from sassafraswharf.journal.messages import decode_batch
from sassafraswharf.journal.messages import decode_reply
from sassafraswharf.journal.messages import encode
from sassafraswharf.journal.takeover import JournalSet
from sassafraswharf.journal.takeover import Takeover
from sassafraswharf.journal.takeover import TakeoverPhase


SERVICE = ServiceName("booking")
DEADLINE_S = 2.0


class Call(NamedTuple):
    """A request of a caller on its way to a router."""

    target: SessionId
    name: str
    digest: bytes
    close: bool


class Reply(NamedTuple):
    """The reply of a member on its way back to an owner."""

    target: SessionId
    batch: JournalBatch
    reply: JournalReply


class Router:
    """A process with its store and the journal of its current session."""

    def __init__(self) -> None:
        self.store = JournalStore()
        self.frozen = False
        self.epoch = 0
        self.takeover: Takeover | None = None
        self.decided: list[JournalKey] = []
        self.outcomes: list[tuple[JournalKey, RecordState, bytes]] = []

    def open(self, session: SessionId) -> None:
        """Start a new session on the existing store."""
        self.session = session
        self.quorum = JournalQuorum(session, self.store)
        self.quorum.set_lease_expiry(float("inf"))
        self.takeover = None
        self.decided, self.outcomes = [], []


class Fleet:
    """All routers, the messages in transit and the replies to callers."""

    def __init__(self, size: int) -> None:
        self.now = 0.0
        self.last_session = 0
        self.epoch = 0
        self.routers = [Router() for _ in range(size)]
        self.in_transit: list[JournalBatch | Reply | Call] = []
        self.sets: dict[SessionId, JournalSet] = {}
        self.sources: list[SessionId] = []
        self.closed: set[SessionId] = set()
        self.runs: Counter[str] = Counter()
        self.ran: dict[tuple[str, bytes], bytes] = {}
        self.not_run: set[str] = set()
        self.replay_violations: list[str] = []
        self.caller_replies: list[tuple[str, str]] = []
        for index in range(size):
            self.open(index)
        for index in range(size):
            self.replace_peers(index)
        self.owner: SessionId | None = None
        self.reassign(0)
        self.settle()

    def open(self, index: int) -> None:
        """Open a new session for a router."""
        self.last_session += 1
        self.routers[index].open(SessionId(self.last_session))

    def router_holding(self, session: SessionId) -> Router | None:
        """Return the router that has held a session."""
        for router in self.routers:
            if session in router.store.sessions:
                return router
        return None

    # Steps of the cell's control part.

    def replace_peers(self, index: int, *others: int) -> None:
        """Replace the journal set of a router's session."""
        router = self.routers[index]
        if router.session in self.closed:
            return
        count = len(self.routers)
        others = others or tuple((index + step) % count for step in (1, 2))
        peers = [self.routers[other].session for other in others]
        known = self.sets.get(router.session)
        generation = 1 if known is None else known.generation + 1
        members = (router.session, *peers)
        self.sets[router.session] = JournalSet(router.session, generation, members)
        if not router.frozen:
            router.quorum.set_peers(generation, peers, self.now)
            self.process_events(router)

    def reassign(self, index: int) -> None:
        """Move the slot to a router and close the session of the previous owner."""
        router = self.routers[index]
        if router.session in self.closed:
            return
        self.epoch += 1
        if self.owner is not None and self.owner != router.session:
            self.closed.add(self.owner)
            if self.owner not in self.sources:
                self.sources.append(self.owner)
        self.owner = router.session
        self.learn(index)

    def learn(self, index: int) -> None:
        """Deliver the newest slot table to a router."""
        router = self.routers[index]
        if router.frozen or router.epoch >= self.epoch:
            return
        router.epoch = self.epoch
        router.takeover = None
        if router.session != self.owner:
            router.quorum.remove_slots(SERVICE, [0], self.now)
        elif not self.sources:
            router.quorum.add_slots(SERVICE, [0], self.epoch, ready=True)
        else:
            sources = [self.sets[source] for source in self.sources]
            router.takeover = Takeover(
                SERVICE, [(0, 1)], self.epoch, sources, router.quorum, self.now
            )
        self.process_events(router)

    # Fault injection.

    def freeze(self, index: int) -> None:
        """Suspend a router without notice to the others, like SIGSTOP."""
        self.routers[index].frozen = True

    def resume(self, index: int) -> None:
        """Resume a frozen router with its state unchanged."""
        self.routers[index].frozen = False
        self.process_events(self.routers[index])

    def kill(self, index: int) -> None:
        """Restart a router with an empty store and a new session."""
        self.closed.add(self.routers[index].session)
        self.routers[index] = Router()
        self.open(index)
        self.replace_peers(index)

    def reopen(self, index: int) -> None:
        """Open a new session for a router whose session is closed."""
        router = self.routers[index]
        if not router.frozen and router.session in self.closed:
            self.open(index)
            self.replace_peers(index)

    def drop(self, number: int) -> None:
        """Lose a message."""
        if self.in_transit:
            self.report_send_failure(self.in_transit.pop(number % len(self.in_transit)))

    def report_send_failure(self, message: JournalBatch | Reply | Call) -> None:
        """Notify the sender of a batch that its exchange failed."""
        batch = message if isinstance(message, JournalBatch) else None
        if isinstance(message, Reply):
            batch = message.batch
        router = self.router_holding(batch.owner) if batch is not None else None
        if router is not None and batch is not None and router.session == batch.owner:
            router.quorum.on_send_failed(batch)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock of all hosts."""
        self.now += seconds
        if seconds > 600:
            # Callers resend only within the retention time of 600 s, and a reply
            # that the request was not run is binding only within it.
            self.in_transit = [m for m in self.in_transit if not isinstance(m, Call)]
            self.not_run.clear()
            for router in self.routers:
                if router.session in self.closed:
                    router.quorum.set_lease_expiry(self.now - 1.0)

    # Request handling.

    def call(
        self, name: str, index: int, close: bool = False, digest: bytes = b"d"
    ) -> None:
        """Send a request of a caller to a router."""
        self.in_transit.append(Call(self.routers[index].session, name, digest, close))

    def deliver(self, number: int = 0) -> bool:
        """Deliver one message to a running router; return whether there was one."""
        for step in range(len(self.in_transit)):
            place = (number + step) % len(self.in_transit)
            message = self.in_transit[place]
            batch = isinstance(message, JournalBatch)
            router = self.router_holding(message.member if batch else message.target)  # type: ignore[union-attr]
            if router is None:
                self.report_send_failure(self.in_transit.pop(place))
                return True
            if not router.frozen:
                self.receive(router, self.in_transit.pop(place))
                return True
        return False

    def receive(self, router: Router, message: JournalBatch | Reply | Call) -> None:
        """Handle a message at a router."""
        if isinstance(message, Call):
            self.serve(router, message)
        elif isinstance(message, Reply):
            seals = message.batch.seals
            if router.session != message.batch.owner:
                return
            if not seals:
                router.quorum.on_reply(message.batch, message.reply, self.now)
            elif router.takeover is not None and seals[0].epoch == router.epoch:
                router.takeover.on_reply(message.batch, message.reply, self.now)
        else:
            batch = decode_batch(encode(message)).unwrap()
            reply = decode_reply(encode(router.store.handle(batch, self.now))).unwrap()
            self.in_transit.append(Reply(batch.owner, batch, reply))
        self.process_events(router)

    def serve(self, router: Router, call: Call) -> None:
        """Handle a caller's request at a router."""
        key = JournalKey(SERVICE, 0, call.name)
        found = router.quorum.lookup(key, call.digest, self.now)
        if found.decision is Decision.RUN:
            start = router.quorum.close if call.close else router.quorum.begin
            start(key, call.digest, self.now + DEADLINE_S, self.now)
        elif found.decision is Decision.REPLAY:
            self.record_reply(call.name, "answer", found.answer)
            if self.ran.get((call.name, found.answer)) != call.digest:
                self.replay_violations.append(
                    f"{call.name}: replayed to another request"
                )
        elif found.key_closed:
            self.record_reply(call.name, "not run key")
        else:
            self.record_reply(call.name, found.decision.name)

    def dispatch(self, index: int, refused: bool = False) -> None:
        """Send a recorded request to the upstream, which runs or refuses it."""
        router = self.routers[index]
        if router.frozen or not router.decided:
            return
        key = router.decided.pop(0)
        if router.quorum.dispatch(key, self.now).is_ok():
            name = key.idempotency_key
            state, answer = RecordState.NOT_RUN, b""
            if not refused:
                self.runs[name] += 1
                state, answer = RecordState.ANSWER, b"%d" % self.runs[name]
                digest = router.quorum.attempts[key].record.body_digest
                self.ran[name, answer] = digest
            router.outcomes.append((key, state, answer))
        self.process_events(router)

    def finish(self, index: int, lost: bool = False) -> None:
        """Record the outcome of a dispatched request and reply to its caller."""
        router = self.routers[index]
        if router.frozen or not router.outcomes:
            return
        key, state, answer = router.outcomes.pop(0)
        state = RecordState.INTENT if lost else state
        router.quorum.conclude(key, state, answer, self.now)
        if state is RecordState.ANSWER:
            self.record_reply(key.idempotency_key, "answer", answer)
        self.process_events(router)

    def hang_up(self, index: int) -> None:
        """Disconnect all callers of a router; it abandons requests not yet sent."""
        router = self.routers[index]
        if not router.frozen:
            for key in list(router.quorum.attempts):
                router.quorum.abandon(key, self.now)
            self.process_events(router)

    def record_reply(self, name: str, word: str, answer: bytes = b"") -> None:
        """Record a reply to a caller and check that its answer belongs to a run."""
        self.caller_replies.append((name, word))
        if word == "answer" and (name, answer) not in self.ran:
            self.replay_violations.append(f"{name}: answer {answer!r} of no run")
        self.not_run.discard(name)
        if word == "not run key":
            self.not_run.add(name)

    def poll(self, index: int) -> None:
        """Fire the timers of a router."""
        router = self.routers[index]
        if not router.frozen:
            router.quorum.expire(self.now)
            if router.takeover is not None:
                router.takeover.advance(self.now)
                self.in_transit += router.takeover.batches()
            self.process_events(router)

    def settle(self) -> None:
        """Fire timers and deliver messages until the running routers are quiet."""
        for _ in range(4):
            for index in range(len(self.routers)):
                self.poll(index)
            for _ in range(200):
                if not self.deliver():
                    break

    def process_events(self, router: Router) -> None:
        """Handle the events of a router and send its batches."""
        if router.frozen:
            return
        takeover = router.takeover
        if takeover is not None:
            takeover.advance(self.now)
            if takeover.phase is TakeoverPhase.READY and self.owner == router.session:
                self.sources = []
                router.takeover = None
                router.quorum.add_slots(SERVICE, [0], takeover.epoch, ready=True)
        for event in router.quorum.take_events():
            if event.kind is EventKind.DECIDED:
                router.decided.append(event.key)
            elif event.kind is EventKind.CLOSED:
                self.record_reply(event.key.idempotency_key, "not run key")
            elif event.kind is EventKind.FAILED:
                self.record_reply(event.key.idempotency_key, "not run attempt")
        self.in_transit += router.quorum.take_batches(self.now)

    def violations(self) -> list[str]:
        """Return all violations of the at-most-once guarantees."""
        found = [f"{name} ran {n} times" for name, n in self.runs.items() if n > 1]
        found += [f"{name} ran after not run" for name in self.not_run & set(self.runs)]
        return found + self.replay_violations
