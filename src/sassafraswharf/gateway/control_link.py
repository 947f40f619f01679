"""Renews the lease of a router and replicates the state of the control group."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final
from typing import TypeVar

import msgspec

from aiohttp import ClientPayloadError
from result import Err

from sassafraswharf.daemon.endless_task import run_endlessly
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
"""If a reply with a part takes less, a part of twice the size arrives in time."""
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
    """Progress of one report, for the decision log and the metrics."""

    __slots__ = ("content", "phase", "started_at")

    def __init__(self, now: float) -> None:
        """Start in the phase in which the connection is opened."""
        self.started_at = now
        self.phase = "connect"
        self.content: StreamReader | None = None

    @property
    def received_bytes(self) -> int:
        """Return how many bytes of the reply's body have arrived."""
        return self.content.total_bytes if self.content is not None else 0


class ControlLink:
    """Reports to the leader by long polling.

    The leader delays each reply until there are changes or ``LONG_POLL_S`` has
    passed, so changes arrive at once and an idle link carries little traffic. Long
    changes are split into parts, each in a reply that renews the lease. Urgent
    reports use a second connection. Any control host names the leader; if it
    doesn't reply, the next one is tried.
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
        """Create a link; ``make_report`` gets the long-poll time and a sequence number.

        ``on_suspects`` gets the requests that have crashed upstreams.
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
        self.urgent_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.connected = False
        self.has_table = False
        self.plan_receiver = PartReceiver()
        self.fleet_receiver = PartReceiver()
        self.outcomes: Counter[str] = Counter()
        self.received_bytes = 0
        self.part_bytes = PART_BYTES

    def start(self) -> None:
        """Start reporting."""
        self.tasks = [
            asyncio.create_task(run_endlessly("reports", self.run_reports)),
            asyncio.create_task(
                run_endlessly("urgent reports", self.run_urgent_reports)
            ),
        ]

    async def stop(self) -> None:
        """Stop reporting; the lease expires on its own."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.lease_until

    def lease_end(self) -> float:
        """Return the expiry of the lease on the local clock, which may have passed."""
        return self.lease_until

    def report_now(self) -> None:
        """Send an urgent report."""
        self.urgent_requested.set()

    async def run_reports(self) -> None:
        """Send reports one after another."""
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
        """Send a report whenever one is requested."""
        connection: HttpConnection | None = None
        while True:
            await self.urgent_requested.wait()
            self.urgent_requested.clear()
            connection, answered = await self.exchange(connection, 0.0)
            if not answered:
                self.urgent_requested.set()
            await asyncio.sleep(
                RETRY_PAUSE_S if not answered else MIN_REPORT_INTERVAL_S
            )

    async def exchange(
        self, connection: HttpConnection | None, long_poll_s: float
    ) -> tuple[HttpConnection | None, bool]:
        """Send a report; return the connection to reuse and whether it succeeded."""
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
        except BaseException:
            if connection is not None:
                connection.abort()
            raise
        else:
            self.outcomes["answered"] += 1
            self.received_bytes += progress.received_bytes
            self.increase_part_size(reply, self.clock.now() - sent_at)
            return connection, self.on_reply(address, reply, sent_at)
        if connection is not None:
            connection.abort()
        return None, False

    def increase_part_size(self, reply: SyncReply, took_s: float) -> None:
        """Request larger parts while parts arrive fast."""
        if took_s < FAST_ANSWER_S and (reply.plan or reply.fleet):
            self.part_bytes = min(self.part_bytes * 2, PART_BYTES)

    async def send_report(
        self, connection: HttpConnection, long_poll_s: float, progress: ReportProgress
    ) -> SyncReply:
        """Send a report and decode the reply."""
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
        """Apply a reply; return whether it came from the leader."""
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
        # A table that is sent in parts is incomplete after the first reply.
        self.has_table = self.view.fleet.version > 0 or reply.fleet_version == 0
        # The clock advances during a suspension, so an old reply grants nothing.
        self.lease_until = max(self.lease_until, sent_at + reply.lease_s)
        return True

    def apply_changes(self, reply: SyncReply, sent_at: float) -> None:
        """Add the parts in a reply, and apply changes that are complete."""
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
        """Add a part; return the changes once the last part has arrived."""
        if part is None:
            return None
        taken = receiver.add_part(part)
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
        """Return whether a transfer is incomplete."""
        return bool(self.plan_receiver.received or self.fleet_receiver.received)

    def redirect(self, leader: str, replied: str) -> None:
        """Use the named leader next, or another control host if there is none."""
        self.leader = (
            leader if leader and leader != replied else self.next_control_host(replied)
        )

    def next_control_host(self, address: str) -> str:
        """Return the control host to try after ``address``."""
        known = list(dict.fromkeys((*self.control_hosts, *self.seeds)))
        if address not in known:
            return known[0]
        return known[(known.index(address) + 1) % len(known)]

    def on_report_failure(
        self, address: str, error: BaseException, progress: ReportProgress
    ) -> None:
        """Log a failed report and switch to another control host.

        The number of bytes received tells a reply that was too long for its timeout
        from a host that didn't respond.
        """
        why = str(error) or type(error).__name__
        self.outcomes[progress.phase] += 1
        if progress.phase == "body":
            # Smaller replies renew the lease on a link too slow for larger ones.
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
