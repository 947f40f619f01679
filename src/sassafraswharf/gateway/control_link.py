"""Keeps the lease of the router and its copies of the replicated state."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final
from typing import TypeVar

import msgspec

from aiohttp import ClientPayloadError
from result import Err

from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.fleet.part_receiver import PartReceiver
from sassafraswharf.fleet.sync import FLEET_DECODER
from sassafraswharf.fleet.sync import PLAN_DECODER
from sassafraswharf.fleet.sync import REPLY_DECODER
from sassafraswharf.fleet.sync import SyncReply
from sassafraswharf.fleet.transfer import MIN_PART_BYTES
from sassafraswharf.fleet.transfer import PART_BYTES
from sassafraswharf.gateway.http_connection import HttpConnection
from sassafraswharf.gateway.message_text import read_body


if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.streams import StreamReader

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.sync import Suspect
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.transfer import TransferPart
    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.observability.decision_log import DecisionLog


Changes = TypeVar("Changes")

LONG_POLL_S: Final = 0.3
ANSWER_TIMEOUT_S: Final = 0.8
CONNECT_TIMEOUT_S: Final = 0.4
RETRY_PAUSE_S: Final = 0.08
FAST_ANSWER_S: Final = ANSWER_TIMEOUT_S / 4
"""After an answer with parts in less than this, parts twice as long arrive in time."""
STATUS_OK: Final = 200
REPORT_ERRORS: Final = (
    OSError,
    TimeoutError,
    ExchangeError,
    ClientPayloadError,
    msgspec.DecodeError,
)
MIN_REPORT_INTERVAL_S: Final = 0.05


class ReportProgress:
    """How far one report came, for the decision log and the metrics."""

    __slots__ = ("content", "phase", "started_at")

    def __init__(self, now: float) -> None:
        """Start before the connection is opened."""
        self.started_at = now
        self.phase = "connect"
        self.content: StreamReader | None = None

    @property
    def received_bytes(self) -> int:
        """Return how much of the body of the answer has arrived."""
        return self.content.total_bytes if self.content is not None else 0


class ControlLink:
    """Reports to the leader again and again.

    The leader holds each report back until there is news or ``HOLD_S`` has
    passed, so changes arrive at once and little is sent while nothing happens.
    Long changes come in parts, each with an answer that renews the lease.
    What can't wait is reported over a second connection. Any control host tells
    who leads; without an answer the next one is asked.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        port: int,
        view: FleetView,
        clock: Clock,
        log: DecisionLog,
        make_report: Callable[[float, int], SyncRequest],
        on_suspects: Callable[[tuple[Suspect, ...]], None],
    ) -> None:
        """Prepare to report; ``make_report`` gets the hold time and a sequence.

        ``take_suspects`` gets requests that have crashed upstreams.
        """
        self.seeds = seeds
        self.control_hosts: tuple[str, ...] = seeds
        self.port = port
        self.view = view
        self.clock = clock
        self.log = log
        self.make_report = make_report
        self.on_suspects = on_suspects
        self.leader = seeds[0] if seeds else ""
        self.lease_until = 0.0
        self.sequence = 0
        self.urgent = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.connected = False
        self.has_table = False
        self.plan_receiver = PartReceiver()
        self.fleet_receiver = PartReceiver()
        self.outcomes: Counter[str] = Counter()
        self.received_bytes = 0
        self.part_bytes = PART_BYTES

    def start(self) -> None:
        """Start to report."""
        self.tasks = [
            asyncio.create_task(self.run_reports()),
            asyncio.create_task(self.run_urgent_reports()),
        ]

    async def stop(self) -> None:
        """Stop reporting; the lease ends by itself."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is in force."""
        return now < self.lease_until

    def lease_end(self) -> float:
        """Return when the lease ends, on the local clock; it may have ended."""
        return self.lease_until

    def report_now(self) -> None:
        """Report without waiting for the next turn."""
        self.urgent.set()

    async def run_reports(self) -> None:
        """Report, wait for the answer and report again."""
        connection: HttpConnection | None = None
        while True:
            began = self.clock.now()
            connection, answered = await self.exchange(connection, LONG_POLL_S)
            if not answered:
                await asyncio.sleep(RETRY_PAUSE_S)
            elif (
                not self.is_transferring
                and self.clock.now() - began < MIN_REPORT_INTERVAL_S
            ):
                await asyncio.sleep(MIN_REPORT_INTERVAL_S)

    async def run_urgent_reports(self) -> None:
        """Report what can't wait."""
        connection: HttpConnection | None = None
        while True:
            await self.urgent.wait()
            self.urgent.clear()
            connection, answered = await self.exchange(connection, 0.0)
            if not answered:
                self.urgent.set()
            await asyncio.sleep(
                RETRY_PAUSE_S if not answered else MIN_REPORT_INTERVAL_S
            )

    async def exchange(
        self, connection: HttpConnection | None, long_poll_s: float
    ) -> tuple[HttpConnection | None, bool]:
        """Send one report; return the connection to keep and whether it worked."""
        address = self.leader
        sent_at = self.clock.now()
        progress = ReportProgress(sent_at)
        try:
            if connection is not None and (
                not connection.is_reusable or connection.peer != address
            ):
                connection.abort()
                connection = None
            if connection is None:
                connection = await HttpConnection.connect(
                    (address, self.port), CONNECT_TIMEOUT_S
                )
            sent_at = self.clock.now()
            async with asyncio.timeout(long_poll_s + ANSWER_TIMEOUT_S):
                reply = await self.send_report(connection, long_poll_s, progress)
        except REPORT_ERRORS as error:
            self.on_report_failure(address, error, progress)
        else:
            self.outcomes["answered"] += 1
            self.received_bytes += progress.received_bytes
            self.increase_part_size(reply, self.clock.now() - sent_at)
            return connection, self.on_reply(address, reply, sent_at)
        if connection is not None:
            connection.abort()
        return None, False

    def increase_part_size(self, reply: SyncReply, took_s: float) -> None:
        """Ask for longer parts when they arrive fast."""
        if took_s < FAST_ANSWER_S and (reply.plan or reply.fleet):
            self.part_bytes = min(self.part_bytes * 2, PART_BYTES)

    async def send_report(
        self, connection: HttpConnection, long_poll_s: float, progress: ReportProgress
    ) -> SyncReply:
        """Run one exchange."""
        progress.phase = "head"
        self.sequence += 1
        body = msgspec.msgpack.encode(self.make_report(long_poll_s, self.sequence))
        head = (
            f"POST /sync HTTP/1.1\r\nHost: {connection.peer}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.begin(head.encode(), body)
        response = await connection.receive()
        progress.phase = "body"
        progress.content = response.content
        content, rest = await read_body(response.content)
        if rest is not None:
            raise ExchangeError("the answer is too long", sent=True)
        connection.finish()
        if response.status != STATUS_OK:
            raise ExchangeError(f"status {response.status}", sent=True)
        return REPLY_DECODER.decode(content)

    def on_reply(self, address: str, reply: SyncReply, sent_at: float) -> bool:
        """Use a reply; return whether it came from the leader."""
        if reply.controls:
            self.control_hosts = reply.controls
        if reply.lease_s <= 0:
            self.redirect(reply.leader, address)
            return False
        if not self.connected:
            self.connected = True
            self.log.record("control_found", leader=address)
        self.apply_changes(reply, sent_at)
        if reply.suspects is not None:
            self.on_suspects(reply.suspects)
        # A table that comes in parts is not there with the first answer.
        self.has_table = self.view.fleet.version > 0 or reply.fleet_version == 0
        # After a suspension the clock has gone on, so an old reply gives nothing.
        self.lease_until = max(self.lease_until, sent_at + reply.lease_s)
        return True

    def apply_changes(self, reply: SyncReply, sent_at: float) -> None:
        """Add the parts of changes, and apply what is whole."""
        plan = self.receive_part(self.plan_receiver, reply.plan, PLAN_DECODER)
        self.view.apply_plan_changes(plan or ())
        fleet = self.receive_part(self.fleet_receiver, reply.fleet, FLEET_DECODER)
        self.view.apply_fleet_changes(fleet or ())
        self.view.confirm_plan(reply.plan_version, sent_at)

    def receive_part(
        self,
        receiver: PartReceiver,
        part: TransferPart | None,
        decoder: msgspec.msgpack.Decoder[Changes],
    ) -> Changes | None:
        """Return the changes when their last part has come."""
        if part is None:
            return None
        taken = receiver.take(part)
        if isinstance(taken, Err):
            self.log.record("transfer_dropped", why=taken.err_value)
            return None
        if taken.ok_value is None:
            return None
        try:
            return decoder.decode(taken.ok_value)
        except msgspec.DecodeError as error:
            self.log.record("transfer_dropped", why=str(error))
            return None

    @property
    def is_transferring(self) -> bool:
        """Return whether a transfer is under way."""
        return bool(self.plan_receiver.received or self.fleet_receiver.received)

    def redirect(self, leader: str, asked: str) -> None:
        """Ask the named leader next, or another control host without one."""
        self.leader = (
            leader if leader and leader != asked else self.next_control_host(asked)
        )

    def next_control_host(self, address: str) -> str:
        """Return the control host to ask after one that could not help."""
        known = list(dict.fromkeys((*self.control_hosts, *self.seeds)))
        if address not in known:
            return known[0]
        return known[(known.index(address) + 1) % len(known)]

    def on_report_failure(
        self, address: str, error: BaseException, progress: ReportProgress
    ) -> None:
        """Ask another control host after one that has not answered.

        Every failed report has a line with how much of the answer had arrived: an
        answer that is too long for its time differs from a silent host by that.
        """
        why = str(error) or type(error).__name__
        self.outcomes[progress.phase] += 1
        if progress.phase == "body":
            # Shorter answers renew the lease where the link is too slow for these.
            self.part_bytes = max(self.part_bytes // 2, MIN_PART_BYTES)
        self.received_bytes += progress.received_bytes
        self.log.record(
            "report_failed",
            leader=address,
            phase=progress.phase,
            why=why,
            after_ms=int((self.clock.now() - progress.started_at) * 1000),
            received_bytes=progress.received_bytes,
            plan=self.view.plan.version,
            fleet=self.view.fleet.version,
        )
        if self.connected:
            self.connected = False
            self.log.record("control_lost", leader=address, why=why)
        if self.leader == address:
            self.leader = self.next_control_host(address)
