"""How a router handles the answers of other routers."""

from __future__ import annotations

import asyncio
import contextlib
import random

from typing import TYPE_CHECKING

import pytest
import uvloop

from aiohttp import web
from result import Err
from result import Ok

from sassafraswharf.clock import BootClock
from sassafraswharf.codes import ResultCode
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.hop_client import HopClient
from sassafraswharf.gateway.hop_codec import OUTCOME
from sassafraswharf.gateway.hop_codec import encode_outcome
from sassafraswharf.gateway.hop_server import HopServer
from sassafraswharf.gateway.responses import rejection_response
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.gateway.work import LoadHint
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.routers import LOOPBACK
from tests.gateway.routers import work


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


NO_LOAD = LoadHint(0, 0, 1, 0.0)
UPSTREAM = Upstream(Instance("i-1", 7), "diary", "h", LOOPBACK, "a", 100, False)


def rejecting(rejection: Rejection) -> Handler:
    """Return the handler of a router that rejects every request."""
    headers = {OUTCOME: encode_outcome(rejection, LoadHint(0, 0, 1, 0.0))}

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=503, headers=headers)

    return handle


async def answer_without_outcome(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=404)


def without_upstream() -> Handler:
    """Return the handler of a router without a local upstream."""
    log = DecisionLog("h", -1)
    return HopServer(HEADER_NAMES, None, BootClock(), log).handle


def status_for_caller(handler: Handler) -> int:
    """Return the status of a request whose only upstream is behind a router."""

    async def main() -> int:
        server = HttpServer(
            handler, max_body_bytes=1_000, max_header_bytes=8_000, header_timeout_s=5.0
        )
        port = await server.start(LOOPBACK, 0)
        clock = BootClock()
        hops = HopClient(port, UpstreamChooser("a", random.Random(1)), clock)
        try:
            outcome = await hops.run(work(clock.now()), UPSTREAM)
        finally:
            hops.close()
            await server.stop()
        assert isinstance(outcome, Err)
        return rejection_response(outcome.err_value, "r", {}, close=False).status

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("handler", "status"),
    [
        pytest.param(without_upstream(), 503, id="router without local upstream"),
        pytest.param(answer_without_outcome, 502, id="an answer without an outcome"),
        *(
            pytest.param(
                rejecting(Rejection(code, "refused", not_run)),
                503 if not_run else 502,
                id=f"{code.name}, {'not run' if not_run else 'unknown'}",
            )
            for code in (
                ResultCode.BAD_REQUEST,
                ResultCode.KEY_MISSING,
                ResultCode.UNKNOWN_SERVICE,
                ResultCode.BODY_TOO_LARGE,
            )
            for not_run in (True, False)
        ),
    ],
)
def test_a_rejection_by_another_router_does_not_blame_the_caller(
    handler: Handler, status: int
) -> None:
    """Guards against DENIED: 400 because another router rejected a request.

    The caller's router had already validated the request, and a caller doesn't
    retry after 400, 404 or 413.
    """
    assert status_for_caller(handler) == status


class CountingRouter:
    """A router that answers every request and counts the bytes in both directions."""

    def __init__(self, body: bytes) -> None:
        self.answer = (
            f"HTTP/1.1 200 OK\r\n{OUTCOME}: {encode_outcome(None, NO_LOAD)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        self.received = 0
        self.sent = 0
        self.ended = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received += len(head)
                if b"chunked" in head:
                    self.received += len(await reader.readuntil(b"\r\n0\r\n\r\n"))
                writer.write(self.answer)
                self.sent += len(self.answer)
        writer.transport.abort()
        self.ended.set()


async def long_body() -> AsyncIterator[bytes]:
    for _ in range(20):
        yield b"3e8\r\n" + bytes(1_000) + b"\r\n"
    yield b"0\r\n\r\n"


@pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize(("zone", "peers"), [("a", "own_zone"), ("b", "other_zone")])
def test_the_bytes_of_hops_are_counted_as_they_are_sent(
    zone: str, peers: str, loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Guards against counters that miss heads, long bodies or reused connections."""

    async def main() -> None:
        router = CountingRouter(bytes(5_000))
        server = await asyncio.start_server(router.handle, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        clock = BootClock()
        hops = HopClient(port, UpstreamChooser("a", random.Random(1)), clock)
        upstream = UPSTREAM._replace(zone=zone)
        for rest in (None, long_body(), None):
            outcome = await hops.run(work(clock.now())._replace(rest=rest), upstream)
            assert isinstance(outcome, Ok)
        hops.close()
        server.close()
        await router.ended.wait()
        # The event loop closes a socket one turn after its transport.
        await asyncio.sleep(0.01)
        traffic = hops.traffic
        assert {
            tuple(labels.values()): size for size, labels in traffic.read_bytes()
        } == {
            ("hop", peers, "sent"): router.received,
            ("hop", peers, "received"): router.sent,
        }
        assert [count for count, _ in traffic.read_messages()] == [3, 3]

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(main())
