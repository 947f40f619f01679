"""Load-generating callers that reuse each connection until it closes."""

from __future__ import annotations

import asyncio
import random
import time

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.provider.machines import CALLER_PORT
from sassafraswharf_bench.soak.connection import Connection
from sassafraswharf_bench.soak.connection import GarbledError
from sassafraswharf_bench.soak.ledger import Exchange
from sassafraswharf_bench.soak.ledger import booking_body


if TYPE_CHECKING:
    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.soak.connection import Answer
    from sassafraswharf_bench.soak.ledger import Ledger


CONNECT_RETRY_S: Final = 0.2
DEADLINE_S: Final = 4.0
DEADLINE_MARGIN_S: Final = 0.5
"""Callers wait this much beyond the deadline so that no answer is missed."""
BUSY_PAUSE_S: Final = (0.0, 0.15)
RARE_PAUSE_S: Final = (0.5, 6.0)
"""Connections idle for this long are first used late in a stop."""
WORK_MS: Final = (5, 20, 20, 20, 100, 300, 700, 1_500)
KEYS: Final = 65_536
DISCONNECT_WITHIN_S: Final = 0.3
DISCONNECT_SHARE: Final = 0.3


class CallerProfile(NamedTuple):
    """The request kind and pipelining depth of a caller, and if it disconnects early.

    ``callers`` is the number of callers per machine, ``pause_s`` their idle time.
    """

    name: str
    kind: str
    pipelined: int = 1
    disconnects: bool = False
    callers: int = 1
    pause_s: tuple[float, float] = BUSY_PAUSE_S


CALLER_PROFILES: Final = (
    CallerProfile("lookups", "lookup"),
    CallerProfile("bookings", "booking"),
    CallerProfile("ahead", "lookup", pipelined=3),
    CallerProfile("bookings-ahead", "booking", pipelined=2),
    CallerProfile("leaver", "booking", disconnects=True),
    CallerProfile("lookup-leaver", "lookup", disconnects=True),
    CallerProfile("rare-lookups", "lookup", callers=6, pause_s=RARE_PAUSE_S),
    CallerProfile("rare-bookings", "booking", callers=6, pause_s=RARE_PAUSE_S),
)


class PendingRequest(NamedTuple):
    """A sent request that awaits its answer."""

    request_id: str
    target: str
    body: bytes
    reused: bool
    sent_at: float


class SoakCaller:
    """One caller of the router of one machine."""

    def __init__(
        self,
        seed: int,
        machine: Machine,
        profile: CallerProfile,
        number: int,
        ledger: Ledger,
    ) -> None:
        """Prepare a caller that draws from the seed."""
        self.name = f"{machine.name}-{profile.name}-{number}"
        self.rng = random.Random(f"{seed}-{self.name}")
        self.machine = machine
        self.profile = profile
        self.ledger = ledger
        self.count = 0

    async def run(self, stopping: asyncio.Event) -> None:
        """Open connections and use each as long as it lasts."""
        while not stopping.is_set():
            try:
                connection = await Connection.open(self.machine.ip, CALLER_PORT)
            except OSError:
                await asyncio.sleep(CONNECT_RETRY_S)
                continue
            try:
                await self.use_connection(connection, stopping)
            finally:
                connection.close()

    async def use_connection(
        self, connection: Connection, stopping: asyncio.Event
    ) -> None:
        """Send requests until the connection closes or the run ends."""
        while not stopping.is_set():
            pause_s = self.rng.uniform(*self.profile.pause_s)
            stray = await connection.wait_idle(pause_s)
            if stray:
                self.record_stray(stray)
            if stray is not None:
                return
            sent = [self.send(connection) for _ in range(self.profile.pipelined)]
            if not await self.receive_all(connection, sent):
                return

    def send(self, connection: Connection) -> PendingRequest:
        """Send the next request."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        work_ms = self.rng.choice(WORK_MS)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        kept = connection.request_count > 0
        if self.profile.kind == "lookup":
            method, body = "GET", b""
            target = f"/diary/{self.count}?work={work_ms}"
            headers["Shard-Key"] = str(self.rng.randrange(KEYS))
        else:
            method, body = "POST", booking_body(request_id)
            target = f"/book/{self.count}?work={work_ms}"
        connection.send(method, target, headers, body)
        return PendingRequest(request_id, target, body, kept, time.monotonic())

    async def receive_all(
        self, connection: Connection, sent: list[PendingRequest]
    ) -> bool:
        """Read the answers in order; return whether the connection can be used on."""
        rest = list(sent)
        while rest:
            request = rest.pop(0)
            answer = await self.receive(connection, request)
            if answer is None or answer.ends_connection():
                for unanswered in rest:
                    self.record(unanswered, "unanswered")
                return False
        return True

    async def receive(
        self, connection: Connection, sent: PendingRequest
    ) -> Answer | None:
        """Read and record one answer; ``None`` if none came."""
        leaves = self.profile.disconnects and self.rng.random() < DISCONNECT_SHARE
        patience_s = DEADLINE_S + DEADLINE_MARGIN_S
        if leaves:
            patience_s = self.rng.uniform(0, DISCONNECT_WITHIN_S)
        left_s = sent.sent_at + patience_s - time.monotonic()
        try:
            answer = await asyncio.wait_for(connection.receive(), left_s)
        except TimeoutError:
            self.record(sent, "left" if leaves else "late")
        except GarbledError as error:
            self.record(sent, "garbled", body=str(error).encode())
        except (asyncio.IncompleteReadError, OSError):
            self.record(sent, "cut")
        else:
            self.record(
                sent,
                "answered",
                status=answer.status,
                signature=answer.headers.get("response-signature", ""),
                answer_id=answer.headers.get("request-id", ""),
                body=answer.body,
            )
            return answer
        return None

    def record(
        self,
        sent: PendingRequest,
        outcome: str,
        *,
        status: int = 0,
        signature: str = "",
        answer_id: str = "",
        body: bytes = b"",
    ) -> None:
        """Record how a request ended."""
        self.ledger.exchanges.append(
            Exchange(
                sent.request_id,
                self.profile.kind,
                self.machine.name,
                sent.target,
                sent.reused,
                sent.sent_at,
                time.monotonic(),
                DEADLINE_S,
                outcome,
                status,
                signature,
                answer_id,
                body,
            )
        )

    def record_stray(self, stray: bytes) -> None:
        """Record bytes that came while no request was waiting."""
        now = time.monotonic()
        self.record(PendingRequest("", "", b"", True, now), "stray", body=stray)
