"""Upstreams that send endless bytes instead of an answer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
import tracemalloc

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NamedTuple

import pytest

from aiohttp import http_parser
from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader

from sassafraswharf.clock import BootClock
from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway import http_connection
from sassafraswharf.gateway.crash_evidence import CrashEvidence
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.hop_client import HopClient
from sassafraswharf.gateway.hop_server import HopServer
from sassafraswharf.gateway.http_connection import HttpConnection
from sassafraswharf.gateway.ingress import Ingress
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.request_reader import RequestReader
from sassafraswharf.gateway.retry_budget import RetryBudget
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.local_upstreams import make_local
from tests.gateway.plans import first_plan


if TYPE_CHECKING:
    from sassafraswharf.gateway.local_upstream import LocalUpstream


Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

UPSTREAM_ADDRESS: Final = "127.0.0.41"
CALLER_ROUTER_ADDRESS: Final = "127.0.0.42"
UPSTREAM_ROUTER_ADDRESS: Final = "127.0.0.43"
FIRST: Final = Instance("i-1", 7)
SECOND: Final = Instance("i-2", 8)

LIMIT_BYTES: Final = 8 * 1_073_741_824
"""Upper bound on what an upstream sends, so that a failing test ends."""
LIMIT_S: Final = 5.0
AT_ONCE_S: Final = 1.0
DEADLINE_MARGIN_S: Final = 0.5
"""Time after its deadline by which a request must have ended."""
POLL_S: Final = 0.01
SHORT_STALL_S: Final = 0.05
PEAK_BYTES: Final = 1_048_576
"""Memory that one connection may take while it reads an answer."""
STEP_BYTES: Final = 65_536

ID: Final = "r-1"
OWN: Final = f"HTTP/1.1 200 OK\r\n{HEADER_NAMES.request_id}: {ID}\r\n".encode()
OTHER: Final = f"HTTP/1.1 200 OK\r\n{HEADER_NAMES.request_id}: r-0\r\n".encode()
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"


class Endless(NamedTuple):
    """Bytes that an upstream sends once, and bytes that it then repeats."""

    first: bytes
    again: bytes


HEADS: Final = {
    "bytes that are no HTTP": Endless(b"", b"\0" * 1_000),
    "blank lines": Endless(b"", b"\r\n" * 500),
    "a status line": Endless(b"HTTP/1.1 200 ", b"x" * 1_000),
    "a field name": Endless(OWN, b"x" * 1_000),
    "a field": Endless(OWN + b"X-A: ", b"x" * 1_000),
    "spaces before a field value": Endless(OWN + b"X-A:", b" " * 1_000),
    "a folded field": Endless(OWN + b"X-A: a", b"\r\n b" * 200),
    "fields": Endless(OWN, b"X-A: b\r\n" * 100),
    "long fields": Endless(OWN, b"X-A: " + b"x" * 60_000 + b"\r\n"),
    "interim answers": Endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 40),
    "another protocol": Endless(
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
        b"Connection: upgrade\r\n\r\n",
        b"x" * 1_000,
    ),
    "a skipped body in chunks": Endless(OTHER + CHUNKED, b"5\r\nhello\r\n" * 100),
    "a skipped body without length": Endless(OTHER + b"\r\n", b"x" * 1_000),
    "a skipped body with a length": Endless(
        OTHER + b"Content-Length: 99999999999\r\n\r\n", b"x" * 1_000
    ),
    "skipped answers": Endless(b"", OTHER + b"Content-Length: 2\r\n\r\nhi"),
}
FRAMINGS: Final = {
    "a chunk size": Endless(OWN + CHUNKED, b"0" * 1_000),
    "a chunk extension": Endless(OWN + CHUNKED + b"5;x=", b"x" * 1_000),
    "trailers": Endless(OWN + CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-A: b\r\n" * 100),
    "long trailers": Endless(
        OWN + CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-A: " + b"x" * 60_000 + b"\r\n"
    ),
    "spaces in a trailer": Endless(
        OWN + CHUNKED + b"5\r\nhello\r\n0\r\nX-A:", b" " * 1_000
    ),
}
BODIES: Final = {
    "chunks": Endless(OWN + CHUNKED, b"3e8\r\n" + b"x" * 1_000 + b"\r\n"),
    "one chunk": Endless(OWN + CHUNKED + b"ffffffffff\r\n", b"x" * 1_000),
    "a long length": Endless(
        OWN + b"Content-Length: 99999999999\r\n\r\n", b"x" * 1_000
    ),
    "no length": Endless(OWN + b"\r\n", b"x" * 1_000),
}
SMALL_PARTS: Final = {
    "small chunks": Endless(OWN + CHUNKED, b"5\r\nhello\r\n" * 100),
}
LATE_FRAMINGS: Final = {
    name: Endless(
        OWN + CHUNKED + b"80000\r\n" + b"x" * 524_288 + b"\r\n" * 1 + tail, again
    )
    for name, tail, again in (
        ("a late chunk extension", b"5;x=", b"x" * 1_000),
        ("late trailers", b"0\r\n", b"X-A: b\r\n" * 100),
    )
}
PARSERS: Final = {
    "C": http_parser.HttpResponseParser,
    "Python": http_parser.HttpResponseParserPy,
}
WHOLE: Final = OWN + b"Content-Length: 5\r\n\r\nwhole"


def named(table: dict[str, Any]) -> pytest.MarkDecorator:
    """Return the cases of a table as parameter ``kind``."""
    return pytest.mark.parametrize("kind", list(table.values()), ids=list(table))


@pytest.fixture(params=list(PARSERS))
def parser(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> str:
    """Parse answers with one of aiohttp's parser implementations."""
    name: str = request.param
    monkeypatch.setattr(http_connection, "HttpResponseParser", PARSERS[name])
    return name


class EndlessUpstream:
    """An upstream that runs a script per connection and counts its connections."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.opened = 0
        self.closed = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self.script(reader, writer)
        finally:
            self.closed += 1
            writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until every connection is closed, at most for ``LIMIT_S``."""
        for _ in range(int(LIMIT_S / POLL_S)):
            if self.closed == self.opened:
                break
            await asyncio.sleep(POLL_S)
        # The event loop closes a socket one turn after its transport.
        await asyncio.sleep(POLL_S)


async def send_without_end(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    kind: Endless,
    pause_s: float = 0.0,
) -> None:
    """Send until the peer closes, up to ``LIMIT_BYTES`` and ``LIMIT_S``."""
    gone = asyncio.ensure_future(reader.read())
    gone.add_done_callback(lambda one: one.cancelled() or one.exception())
    began = time.monotonic()
    writer.write(kind.first)
    sent = 0
    # A slow upstream sends two bytes at a time, a fast one as the link allows.
    parts = (
        itertools.cycle(kind.again[at : at + 2] for at in range(0, len(kind.again), 2))
        if pause_s
        else itertools.repeat(kind.again * (STEP_BYTES // len(kind.again) + 1))
    )
    for part in parts:
        if gone.done() or sent > LIMIT_BYTES or time.monotonic() - began > LIMIT_S:
            break
        writer.write(part)
        sent += len(part)
        await asyncio.wait([gone], timeout=pause_s)
        await writer.drain()
    gone.cancel()


def endless(kind: Endless, pause_s: float = 0.0) -> Script:
    """Return a script that answers a request with endless bytes."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await send_without_end(reader, writer, kind, pause_s)

    return script


async def answer_whole(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request of a connection at once."""
    while True:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WHOLE)


class CallerResult(NamedTuple):
    """Answer that a caller received, whether it was complete, and its duration.

    Stalls of the machine are subtracted from ``took_s`` but not ``elapsed_s``.
    """

    status: int
    text: bytes
    size: int
    whole: bool
    was_reset: bool
    took_s: float
    elapsed_s: float


async def watch_stalls(stalls: list[float]) -> None:
    """Collect the times in which this process was not scheduled.

    Beside 24 busy processes one of 60 requests took 0.84 s instead of 0.3 s, of which
    the event loop was stalled for 0.67 s. CPU time of the process itself is not
    subtracted, so a router that uses too much of it is still detected.
    """
    while True:
        began, worked = time.monotonic(), time.process_time()
        await asyncio.sleep(POLL_S)
        stalled_s = time.monotonic() - began - POLL_S - (time.process_time() - worked)
        if stalled_s > SHORT_STALL_S:
            stalls.append(stalled_s)


async def ask(
    port: int, deadline_ms: int, *, version: str = "1.1", path: str = "/x"
) -> CallerResult:
    """Send one request as a caller and read until the connection ends."""
    stalls: list[float] = []
    watching = asyncio.create_task(watch_stalls(stalls))
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(CALLER_ROUTER_ADDRESS, port)
    writer.write(
        f"GET {path} HTTP/{version}\r\nHost: a.example\r\nConnection: close\r\n"
        f"{HEADER_NAMES.request_id}: {ID}\r\n"
        f"{HEADER_NAMES.deadline_ms}: {deadline_ms}\r\n\r\n".encode()
    )
    kept = bytearray()
    size = 0
    was_reset = False
    try:
        async with asyncio.timeout(2 * LIMIT_S):
            while data := await reader.read(STEP_BYTES):
                size += len(data)
                kept += data
                if len(kept) > 2 * STEP_BYTES:
                    del kept[4_096:-4_096]
    except ConnectionResetError:
        was_reset = True
    finally:
        writer.transport.abort()
        watching.cancel()
    elapsed_s = time.monotonic() - began
    took_s = elapsed_s - sum(stalls)
    head, _, body = bytes(kept).partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    size = max(0, size - len(head) - 4)
    whole = not was_reset and bool(head)
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        whole = whole and body.endswith(b"\r\n0\r\n\r\n")
    elif b"content-length: " in lowered:
        length = lowered.partition(b"content-length: ")[2].split()[0]
        whole = whole and size == int(length)
    return CallerResult(status, body[:200], size, whole, was_reset, took_s, elapsed_s)


class RouterSetup(NamedTuple):
    """The callers' router with the upstream under test and its local state."""

    port: int
    upstream: EndlessUpstream
    local: LocalUpstream
    ingress: Ingress

    async def is_freed(self, timeout_s: float) -> bool:
        """Return whether all slots and connections are released within the time."""
        for _ in range(int(timeout_s / POLL_S)):
            taken = (
                self.local.queue.running or self.upstream.closed < self.upstream.opened
            )
            if not taken:
                return True
            await asyncio.sleep(POLL_S)
        return False


def announced(address: tuple[str, int], instance: Instance) -> LocalUpstream:
    local = make_local(address)
    beat = Heartbeat(instance, "s", address, 4, False, 0.0, 1)
    local.on_heartbeat(beat, local.clock.now())
    return local


def make_server(handler: Any) -> HttpServer:
    return HttpServer(
        handler, max_body_bytes=1_000, max_header_bytes=8_000, header_timeout_s=5.0
    )


def make_view(timeout_ms: int, upstreams: tuple[Upstream, ...]) -> FleetView:
    plan = first_plan({"timeout": f"{timeout_ms}ms", "targetLatency": "100ms"})
    view = FleetView(DocumentReader(), DecisionLog("h", -1))
    view.apply_plan_changes([plan])
    view.fleet.apply(5, FleetChange(upstreams, (), ()))
    return view


@contextlib.asynccontextmanager
async def running(
    script: Script,
    *,
    hops: int = 0,
    timeout_ms: int = 9_000,
    with_second: bool = False,
) -> AsyncIterator[RouterSetup]:
    """Run the routers; with ``hops`` the request goes through two of them.

    The second upstream is on the host of another router and answers at once.
    """
    upstream = EndlessUpstream(script)
    second = EndlessUpstream(answer_whole)
    async with contextlib.AsyncExitStack() as stack:
        ports = []
        for one in (upstream, second):
            stack.push_async_callback(one.wait_closed)
            listening = await asyncio.start_server(one.handle, UPSTREAM_ADDRESS, 0)
            stack.callback(listening.close)
            ports.append(listening.sockets[0].getsockname()[1])
        local = announced((UPSTREAM_ADDRESS, ports[0]), FIRST)
        other = announced((UPSTREAM_ADDRESS, ports[1]), SECOND)
        stack.callback(local.pool.close)
        stack.callback(other.pool.close)
        clock = BootClock()
        log = DecisionLog("h", -1)
        behind = HopServer(HEADER_NAMES, local if hops else other, clock, log)
        peer = make_server(behind.handle)
        hop_port = await peer.start(UPSTREAM_ROUTER_ADDRESS, 0)
        stack.push_async_callback(peer.stop)
        known = [Upstream(FIRST, "s", "h-1", UPSTREAM_ROUTER_ADDRESS, "a", 4, False)]
        if with_second:
            known.append(
                Upstream(SECOND, "s", "h-2", UPSTREAM_ROUTER_ADDRESS, "a", 4, False)
            )
        view = make_view(timeout_ms, tuple(known))
        choice = UpstreamChooser("a", random.Random(3))
        client = HopClient(hop_port, choice, clock)
        stack.callback(client.close)
        ingress = Ingress(
            RequestReader("s", HEADER_NAMES, view, 0.0),
            view,
            choice,
            client,
            None if hops else local,
            lambda: RetryBudget(1.0, 64, 64),
            CrashEvidence(),
            clock,
            log,
        )
        server = make_server(ingress.handle)
        port = await server.start(CALLER_ROUTER_ADDRESS, 0)
        stack.push_async_callback(server.stop)
        yield RouterSetup(port, upstream, local, ingress)


def ask_once(
    script: Script,
    deadline_ms: int,
    *,
    hops: int = 0,
    timeout_ms: int = 9_000,
    version: str = "1.1",
) -> tuple[CallerResult, bool]:
    """Return a caller's result, and whether slots and connections are released."""

    async def main() -> tuple[CallerResult, bool]:
        async with running(script, hops=hops, timeout_ms=timeout_ms) as site:
            seen = await ask(site.port, deadline_ms, version=version)
            return seen, await site.is_freed(DEADLINE_MARGIN_S)

    return asyncio.run(main())


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("hops", [0, 1])
@named(HEADS | FRAMINGS)
def test_bytes_without_end_that_cannot_be_an_answer_fail_at_once(
    kind: Endless, hops: int
) -> None:
    """Guards against endless heads that hold a request until its deadline.

    Also against endless framing of a body, which yields no byte of the body.
    """
    seen, freed = ask_once(endless(kind), 4_000, hops=hops)
    assert (seen.status, seen.whole) == (502, True)
    assert seen.text[:4] in {b"3201", b"3202"}
    assert seen.took_s < AT_ONCE_S
    assert freed


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("hops", [0, 1])
def test_the_reason_for_bytes_without_end_passes_between_routers(hops: int) -> None:
    """Guards against a rejection of endless bytes that is itself malformed.

    A reason of several lines can't be sent in a header: the router on the upstream's
    host closed the connection instead, which looks like a lost router.
    """
    kind = Endless(b"\x01\r\n\xff", b"\x02\xfe\r\n" * 200)
    seen, freed = ask_once(endless(kind), 4_000, hops=hops)
    assert seen.status == 502
    assert seen.text.startswith(b"3201 lookup: the answer is malformed")
    assert seen.text.count(b"\n") == 1
    assert freed


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("hops", [0, 1])
@named(BODIES)
def test_a_body_without_end_is_reset_at_the_deadline(kind: Endless, hops: int) -> None:
    """Guards against endless bodies that are relayed until the caller disconnects."""
    seen, freed = ask_once(endless(kind), 600, hops=hops)
    assert (seen.status, seen.whole) == (200, False)
    assert seen.elapsed_s > 0.5
    assert seen.took_s < 0.6 + DEADLINE_MARGIN_S
    assert freed


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("hops", [0, 1])
@named(LATE_FRAMINGS)
def test_framing_without_end_after_a_long_body_is_reset_at_once(
    kind: Endless, hops: int
) -> None:
    """Guards against a streamed body with endless framing."""
    seen, freed = ask_once(endless(kind), 4_000, hops=hops)
    assert (seen.status, seen.whole) in {(200, False), (502, True)}
    assert seen.took_s < AT_ONCE_S
    assert freed


@pytest.mark.parametrize(
    ("deadline_ms", "timeout_ms"),
    [(400, 9_000), (9_000, 400)],
    ids=["deadline", "route"],
)
def test_a_body_without_end_is_reset_at_the_earlier_limit(
    deadline_ms: int, timeout_ms: int
) -> None:
    """Guards against an endless body that outlasts its route's timeout (CONFIG)."""
    script = endless(BODIES["chunks"])
    seen, freed = ask_once(script, deadline_ms, timeout_ms=timeout_ms)
    assert not seen.whole
    assert seen.took_s < 0.4 + DEADLINE_MARGIN_S
    assert freed


@pytest.mark.parametrize("hops", [0, 1])
def test_a_body_without_end_never_looks_complete_to_an_old_caller(hops: int) -> None:
    """Guards against a close that completes an endless body for HTTP/1.0 (MIXED)."""
    seen, freed = ask_once(endless(BODIES["chunks"]), 400, hops=hops, version="1.0")
    assert seen.size
    assert seen.was_reset
    assert freed


@named(HEADS | FRAMINGS | BODIES | SMALL_PARTS)
def test_slow_bytes_without_end_are_refused_at_the_deadline(kind: Endless) -> None:
    """Guards against endless bytes that arrive too slowly to reach a size limit."""
    seen, freed = ask_once(endless(kind, 0.02), 300)
    assert seen.status in {502, 504}
    assert seen.whole
    assert seen.took_s < 0.3 + DEADLINE_MARGIN_S
    assert freed


def test_a_body_without_end_holds_its_slot_until_it_is_closed() -> None:
    """Guards against exceeding an upstream's slots while endless bodies are relayed."""

    async def main() -> tuple[int, bool]:
        async with running(endless(BODIES["chunks"])) as site:
            asking = asyncio.create_task(ask(site.port, 800))
            await asyncio.sleep(0.4)
            held = site.local.queue.running
            await asking
            return held, await site.is_freed(DEADLINE_MARGIN_S)

    assert asyncio.run(main()) == (1, True)


@pytest.mark.parametrize("hops", [0, 1])
def test_a_caller_that_leaves_ends_a_body_without_end(hops: int) -> None:
    """Guards against an upstream that keeps working for a caller that left (GONE)."""

    async def main() -> bool:
        async with running(endless(BODIES["chunks"]), hops=hops) as site:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await ask(site.port, 9_000)
            return await site.is_freed(DEADLINE_MARGIN_S)

    assert asyncio.run(main())


def test_other_requests_go_on_beside_bytes_without_end() -> None:
    """Guards against a router whose event loop is blocked by endless bytes."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        if b"/endless" in request:
            await send_without_end(reader, writer, BODIES["chunks"])
            return
        writer.write(WHOLE)
        await answer_whole(reader, writer)

    async def main() -> list[CallerResult]:
        async with running(script) as site:
            busy = [
                asyncio.create_task(ask(site.port, 1_000, path="/endless"))
                for _ in range(2)
            ]
            await asyncio.sleep(0.1)
            seen = [await ask(site.port, 1_000) for _ in range(5)]
            await asyncio.gather(*busy)
            return seen

    seen = asyncio.run(main())
    assert [one.text for one in seen] == [b"whole"] * 5
    assert max(one.took_s for one in seen) < DEADLINE_MARGIN_S


@pytest.mark.parametrize("name", ["a status line", "interim answers", "trailers"])
def test_a_repeatable_request_is_tried_elsewhere_after_bytes_without_end(
    name: str,
) -> None:
    """Guards against requests that fail because one upstream sends endless bytes."""

    async def main() -> tuple[list[CallerResult], int]:
        script = endless((HEADS | FRAMINGS)[name])
        async with running(script, with_second=True) as site:
            seen = [await ask(site.port, 3_000) for _ in range(6)]
            return seen, site.upstream.opened

    seen, asked = asyncio.run(main())
    assert asked
    assert [one.text for one in seen] == [b"whole"] * 6


def test_bytes_without_end_on_an_idle_connection_close_it() -> None:
    """Guards against endless bytes that are buffered for the next request."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WHOLE)
        await asyncio.sleep(0.1)
        await send_without_end(reader, writer, HEADS["blank lines"])

    async def main() -> tuple[list[CallerResult], bool]:
        async with running(script) as site:
            seen = []
            for _ in range(2):
                seen.append(await ask(site.port, 2_000))
                await asyncio.sleep(0.3)
            return seen, await site.is_freed(DEADLINE_MARGIN_S)

    seen, freed = asyncio.run(main())
    assert [one.text for one in seen] == [b"whole"] * 2
    assert freed


@pytest.mark.parametrize("hops", [0, 1])
@pytest.mark.parametrize("framing", ["length", "chunks", "no length"])
def test_a_long_body_with_an_end_passes_whole(framing: str, hops: int) -> None:
    """Guards against limits for endless bodies that truncate valid ones."""
    part = b"x" * 100_000
    parts = 200
    begin, end, wrap = {
        "length": (b"Content-Length: %d\r\n\r\n" % (len(part) * parts), b"", b"%s"),
        "chunks": (CHUNKED, b"0\r\n\r\n", b"%x\r\n%%s\r\n" % len(part)),
        "no length": (b"\r\n", b"", b"%s"),
    }[framing]

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OWN + begin)
        for _ in range(parts):
            writer.write(wrap % part)
            await writer.drain()
        writer.write(end)
        await writer.drain()
        if framing == "no length":
            writer.write_eof()
        await reader.read()

    seen, freed = ask_once(script, 5_000, hops=hops)
    assert (seen.status, seen.whole) == (200, True)
    assert seen.size >= len(part) * parts
    assert freed


@pytest.mark.usefixtures("parser")
def test_a_few_interim_answers_are_no_answers_without_end() -> None:
    """Guards against a limit that rejects valid interim answers."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for status in (b"100 Continue", b"102 Processing", b"103 Early Hints") * 6:
            writer.write(b"HTTP/1.1 %s\r\nLink: </a.css>\r\n\r\n" % status)
            await asyncio.sleep(0.01)
        writer.write(WHOLE)
        await reader.read()

    seen, _ = ask_once(script, 3_000)
    assert (seen.status, seen.text) == (200, b"whole")


class MemoryTransport(asyncio.Transport):
    """Transport without a socket; the test feeds the bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.ended = False

    def write(self, data: Any) -> None:
        assert data

    def is_closing(self) -> bool:
        return self.ended

    def abort(self) -> None:
        self.ended = True

    def pause_reading(self) -> None:
        self.ended = True

    def resume_reading(self) -> None:
        self.ended = False


async def receive_at_most(kind: Endless, limit: int) -> int:
    """Feed endless bytes to a connection until it stops reading; return their size."""
    connection = HttpConnection(HEADER_NAMES.request_id)
    transport = MemoryTransport()
    connection.transport = transport
    connection.begin(b"GET / HTTP/1.1\r\n\r\n", b"", ID)
    reading = asyncio.ensure_future(connection.receive())
    block = kind.again * (STEP_BYTES // len(kind.again) + 1)
    connection.data_received(kind.first)
    size = 0
    while not transport.ended and size < limit:
        # A socket yields a new object for each read.
        connection.data_received(bytes(bytearray(block)))
        size += len(block)
        await asyncio.sleep(0)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    return size


ANSWERED = {
    "answers after the answer": Endless(WHOLE, OWN + b"Content-Length: 2\r\n\r\nhi"),
    "a body after the answer": Endless(WHOLE + OWN + CHUNKED, b"5\r\nhello\r\n"),
}


@pytest.mark.usefixtures("parser")
@named(HEADS | FRAMINGS | BODIES | SMALL_PARTS | ANSWERED)
def test_bytes_without_end_take_little_memory_and_time(kind: Endless) -> None:
    """Guards against memory or CPU time that grows with endless bytes."""
    asyncio.run(receive_at_most(kind, STEP_BYTES))
    began = time.process_time()
    tracemalloc.start()
    try:
        size = asyncio.run(receive_at_most(kind, 64 * STEP_BYTES))
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert size < 8 * STEP_BYTES
    assert peak < PEAK_BYTES
    assert time.process_time() - began < 1.0


def test_a_body_in_small_parts_takes_little_memory() -> None:
    """Guards against the memory overhead of tiny parts of an endless body."""

    async def main() -> int:
        protocol = BaseProtocol(asyncio.get_running_loop())
        protocol.transport = MemoryTransport()
        content = StreamReader(protocol, STEP_BYTES)
        reading = asyncio.ensure_future(read_body(content))
        tracemalloc.start()
        try:
            while not reading.done():
                for number in range(16):
                    content.feed_data(b"%02d" % number)
                await asyncio.sleep(0)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        body, rest = reading.result()
        assert len(body) > 262_144
        assert rest is not None
        return peak

    assert asyncio.run(main()) < PEAK_BYTES


def test_the_end_of_a_head_without_end_is_an_error() -> None:
    """Guards against an endless head that is reported as not sent."""

    async def main() -> bool:
        connection = HttpConnection(HEADER_NAMES.request_id)
        connection.transport = MemoryTransport()
        connection.begin(b"GET / HTTP/1.1\r\n\r\n", b"", ID)
        for _ in range(1_000):
            connection.data_received(b"\r\n" * 500)
        with pytest.raises(ExchangeError) as caught:
            async with asyncio.timeout(1.0):
                await connection.receive()
        return caught.value.sent

    assert asyncio.run(main())
