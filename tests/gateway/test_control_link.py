"""A router finds the leader from its seeds and computes its lease correctly."""

from __future__ import annotations

import asyncio
import contextlib
import random

from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
import pytest

from aiohttp import web

from sassafraswharf.fleet.fleet_state import VersionedFleet
from sassafraswharf.fleet.part_sender import PartSender
from sassafraswharf.fleet.sync import REQUEST_DECODER
from sassafraswharf.fleet.sync import SyncReply
from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.control_link import ANSWER_TIMEOUT_S
from sassafraswharf.gateway.control_link import ControlLink
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.router.http_server import HttpServer


Answer = Callable[[SyncRequest], Awaitable[SyncReply | None]]
LEADER = "127.21.0.3"
OTHER = "127.21.0.4"
DARK = "127.21.0.5"
FIELDS = ("s", "h", "ip", "a", 4, False)


class StoppedClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


async def start(ip: str, port: int, answer: Answer) -> HttpServer:
    async def handle(request: web.BaseRequest) -> web.Response:
        reply = await answer(REQUEST_DECODER.decode(await request.read()))
        if reply is None:
            return web.Response(status=500)
        return web.Response(body=msgspec.msgpack.encode(reply))

    server = HttpServer(
        handle, max_body_bytes=65_536, max_header_bytes=8_192, header_timeout_s=5.0
    )
    await server.start(ip, port)
    return server


def make_link(seeds: tuple[str, ...], clock: StoppedClock, port: int) -> ControlLink:
    log = DecisionLog("h", -1)
    view = FleetView(DocumentReader(), log)

    def report(hold_s: float, sequence: int) -> SyncRequest:
        return SyncRequest("h", "ip", "a", 1, sequence, 0, 0, hold_s)

    return ControlLink(seeds, port, view, clock, log, report, lambda _: None)


@pytest.mark.parametrize("seeds", [(LEADER,), (OTHER,), (DARK, OTHER), (DARK, LEADER)])
def test_the_leader_is_found_from_any_seed(seeds: tuple[str, ...]) -> None:
    """Guards against a router that depends on one of its seeds."""

    async def main() -> None:
        async def lead(_request: SyncRequest) -> SyncReply:
            return SyncReply(LEADER, (LEADER, OTHER), 4.5)

        async def follow(_request: SyncRequest) -> SyncReply:
            return SyncReply(LEADER, (LEADER, OTHER), 0.0)

        port = 17_600 + len(seeds) * 10 + seeds.index(seeds[-1])
        servers = [await start(LEADER, port, lead), await start(OTHER, port, follow)]
        clock = StoppedClock()
        link = make_link(seeds, clock, port)
        link.start()
        for _ in range(1_000):
            if link.has_lease(clock.now()):
                break
            await asyncio.sleep(0.02)
        assert link.has_lease(clock.now())
        assert link.leader == LEADER
        await link.stop()
        for server in servers:
            await server.stop()

    asyncio.run(main())


def test_the_lease_counts_from_the_sending_of_the_report() -> None:
    """Guards against a lease that is extended by a suspension of the host."""

    async def main() -> None:
        clock = StoppedClock()

        async def lead(_request: SyncRequest) -> SyncReply:
            clock.time += 4.0
            return SyncReply(LEADER, (LEADER,), 4.5)

        server = await start(LEADER, 17_700, lead)
        link = make_link((LEADER,), clock, 17_700)
        _, answered = await link.exchange(None, 0.0)
        assert answered
        assert link.lease_until == 104.5
        assert clock.now() == 104.0
        await server.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    "beginning",
    [
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n", id="body"),
        pytest.param(b"HTTP/1.1 200 OK\r\nX: ", id="head"),
        pytest.param(b"", id="status line"),
    ],
)
def test_an_endless_reply_of_a_control_host_is_aborted_at_once(
    beginning: bytes,
) -> None:
    """Guards against endless bytes that fill memory until their timeout.

    Complete replies are shorter than 64 KB, since changes are sent in parts.
    """

    async def main() -> None:
        async def handle(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(beginning)
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"x" * 65_536)
                    await writer.drain()

        server = await asyncio.start_server(handle, LEADER, 17_710)
        link = make_link((LEADER,), StoppedClock(), 17_710)
        async with asyncio.timeout(ANSWER_TIMEOUT_S / 2):
            connection, answered = await link.exchange(None, 0.0)
        assert (connection, answered) == (None, False)
        assert link.received_bytes < 1_048_576
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("newest", "parts", "has_table"),
    [
        pytest.param(0, 0, True, id="nothing was ever announced"),
        pytest.param(9, 0, False, id="too much is under way to all routers"),
        pytest.param(9, 1, False, id="the first part"),
        pytest.param(9, 4, True, id="the whole table"),
    ],
)
def test_a_router_without_the_whole_table_does_not_report_its_upstream(
    newest: int, parts: int, has_table: bool
) -> None:
    """Guards against a restarted router that reports a draining upstream as ready.

    It learns of a drain only from the table, which may be sent in parts.
    """

    async def main() -> None:
        upstreams = tuple(
            Upstream(Instance(random.Random(n).randbytes(40).hex(), 1), *FIELDS)
            for n in range(1_500)
        )
        table = [VersionedFleet(newest, FleetChange(upstreams, is_whole=True))]
        sender = PartSender(lambda _: msgspec.msgpack.encode(table))
        link = make_link((LEADER,), StoppedClock(), 17_720)
        for _ in range(max(1, parts)):
            cursor = link.fleet_receiver.cursor
            fleet = sender.part_for(0, newest, cursor) if parts else None
            reply = SyncReply(LEADER, (LEADER,), 4.5, fleet=fleet, fleet_version=newest)
            link.on_reply(LEADER, reply, 100.0)
        assert link.has_table is has_table
        assert link.has_lease(100.0)

    asyncio.run(main())


@pytest.mark.parametrize("error", [OverflowError("too large"), RecursionError()])
def test_reports_continue_after_one_that_cannot_be_made(error: Exception) -> None:
    """Guards against a router that serves an old configuration for good.

    A report with a number above 64 bits can't be encoded. The task of the reports
    ended with that exception, and nobody saw it.
    """

    async def main() -> None:
        async def lead(_request: SyncRequest) -> SyncReply:
            return SyncReply(LEADER, (LEADER,), 4.5)

        server = await start(LEADER, 17_720, lead)
        clock = StoppedClock()
        link = make_link((LEADER,), clock, 17_720)
        make_report = link.make_report
        failures = iter([error, error])

        def make_faulty_report(hold_s: float, sequence: int) -> SyncRequest:
            failure = next(failures, None)
            if failure is not None:
                raise failure
            return make_report(hold_s, sequence)

        link.make_report = make_faulty_report
        link.start()
        for _ in range(500):
            if link.has_lease(clock.now()):
                break
            await asyncio.sleep(0.02)
        has_lease = link.has_lease(clock.now())
        await link.stop()
        await server.stop()
        assert has_lease

    asyncio.run(main())
