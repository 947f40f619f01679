"""Tests of keep-alive connections with many requests."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

import pytest
import uvloop

from aiohttp import web

from sassafraswharf.router.http_server import HttpServer


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    NewLoop = Callable[[], asyncio.AbstractEventLoop]


REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD_TIMEOUT_S = 0.2
LONG_BYTES = 16_777_216
on_both_loops = pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uv"]
)


def create_server(handler: Handler) -> HttpServer:
    return HttpServer(
        handler,
        max_body_bytes=1_048_576,
        max_header_bytes=8_192,
        header_timeout_s=HEAD_TIMEOUT_S,
    )


async def answer(_request: web.BaseRequest) -> web.Response:
    return web.Response(text="whole")


async def use_again_after_an_early_answer(pause_s: float) -> bytes:
    """Return the second response on a connection whose first one preceded its body."""
    server = create_server(answer)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf")
    await reader.readuntil(b"whole")
    writer.write(b"half")
    await asyncio.sleep(pause_s)
    writer.write(REQUEST)
    async with asyncio.timeout(5):
        received = await reader.read(65_536)
    writer.close()
    await server.stop()
    return received


@on_both_loops
@pytest.mark.parametrize("pause_s", [0.0, HEAD_TIMEOUT_S / 2, HEAD_TIMEOUT_S * 2])
def test_a_connection_stays_open_after_a_body_that_follows_its_response(
    pause_s: float, new_loop: NewLoop
) -> None:
    """Guards against closing a keep-alive connection before its idle timeout (LOST).

    The rest of a body was taken for the start of a head, whose timer later closed
    the connection even while it was in use.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        received = runner.run(use_again_after_an_early_answer(pause_s))
    assert received.endswith(b"whole")


async def send_while_an_answer_is_written(requests: int) -> int:
    """Return how many responses a caller gets that reads the first one late."""

    async def handle(_request: web.BaseRequest) -> web.Response:
        return web.Response(body=b"x" * LONG_BYTES)

    server = create_server(handle)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=65_536)
    for _ in range(requests):
        writer.write(REQUEST)
        await asyncio.sleep(0.02)
    await asyncio.sleep(HEAD_TIMEOUT_S * 2)
    received = 0
    async with asyncio.timeout(10):
        while received < requests * LONG_BYTES:
            part = await reader.read(1_048_576)
            if not part:
                break
            received += len(part)
    writer.close()
    await server.stop()
    return received // LONG_BYTES


@on_both_loops
@pytest.mark.parametrize("requests", [1, 2, 3])
def test_requests_sent_while_an_answer_is_read_slowly_are_answered(
    requests: int, new_loop: NewLoop
) -> None:
    """Guards against complete requests that are dropped by the head timer."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answers = runner.run(send_while_an_answer_is_written(requests))
    assert answers == requests


async def read_a_request_as_its_head_timer_fires(iterations: int) -> tuple[int, bytes]:
    """Return how many requests were handled, and what the caller received.

    The head timer expires ``iterations`` turns of the event loop after the rest of
    the head was read.
    """
    handled = 0

    async def handle(_request: web.BaseRequest) -> web.Response:
        nonlocal handled
        handled += 1
        await asyncio.sleep(0.05)
        return web.Response(text="whole")

    server = create_server(handle)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST + REQUEST[:10])
    await reader.readuntil(b"whole")
    handled = 0
    writer.write(REQUEST[10:12])
    await asyncio.sleep(HEAD_TIMEOUT_S / 4)
    connection = next(iter(server.connections))
    connection.data_received(REQUEST[12:])
    for _ in range(iterations):
        await asyncio.sleep(0)
    time.sleep(HEAD_TIMEOUT_S)  # noqa: ASYNC251 - the loop is to be busy
    async with asyncio.timeout(5):
        received = await reader.read(65_536)
    writer.close()
    await server.stop()
    return handled, received


@on_both_loops
@pytest.mark.parametrize("iterations", [0, 1, 2, 3])
def test_a_head_that_is_complete_in_time_is_answered(
    iterations: int, new_loop: NewLoop
) -> None:
    """Guards against requests that are handled and then aborted by the head timer.

    The timer ran until the handler started, some iterations of the event loop after
    the head had been read.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        handled, received = runner.run(
            read_a_request_as_its_head_timer_fires(iterations)
        )
    assert handled == 1
    assert received.endswith(b"whole")


async def send_pipelined(count: int, body_bytes: int) -> int:
    """Return how many of the pipelined requests are answered."""

    async def handle(request: web.BaseRequest) -> web.Response:
        await request.read()
        return web.Response(text="whole")

    server = create_server(handle)
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    writer.write((head % body_bytes + b"b" * body_bytes) * count)
    received = b""
    async with asyncio.timeout(10):
        while received.count(b"whole") < count:
            part = await reader.read(65_536)
            if not part:
                break
            received += part
    writer.close()
    await server.stop()
    return received.count(b"whole")


@on_both_loops
@pytest.mark.parametrize(
    ("count", "body_bytes"),
    [
        pytest.param(200, 0, id="more than aiohttp queues"),
        pytest.param(100, 5_000, id="heads and bodies in one read"),
        pytest.param(40, 200_000, id="bodies above the read buffer"),
    ],
)
def test_all_pipelined_requests_are_answered(
    count: int, body_bytes: int, new_loop: NewLoop
) -> None:
    """Guards against counting the bytes of queued requests as one endless head."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answers = runner.run(send_pipelined(count, body_bytes))
    assert answers == count


class HalfReader(HttpServer):
    """Reads half of a request in the iteration in which it closes connections."""

    def __init__(self, half: bytes) -> None:
        super().__init__(
            read_all,
            max_body_bytes=1_048_576,
            max_header_bytes=8_192,
            header_timeout_s=5.0,
        )
        self.half = half

    def pre_shutdown(self) -> None:
        for connection in self.connections:
            connection.data_received(self.half)
        super().pre_shutdown()


async def read_all(request: web.BaseRequest) -> web.Response:
    body = await request.read()
    return web.Response(text=f"read {len(body)}")


async def close_between_two_halves(size: int, is_graceful: bool) -> bytes:
    """Return the response to a request that is only half read when a stop begins."""
    half = b"b" * (size // 2)
    server = HalfReader(
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size + half
    )
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    await reader.readuntil(b"read 0")
    closing = asyncio.create_task(
        server.stop_gracefully(2.0) if is_graceful else server.stop_accepting()
    )
    await asyncio.sleep(0.5)
    writer.write(half)
    try:
        async with asyncio.timeout(1):
            return await reader.read()
    except TimeoutError:
        return b""
    finally:
        await closing
        writer.close()
        await server.stop()


@on_both_loops
@pytest.mark.parametrize("size", [8, 1_000_000])
@pytest.mark.parametrize("is_graceful", [False, True])
def test_the_rest_of_a_body_is_read_while_its_connection_is_closed(
    is_graceful: bool, size: int, new_loop: NewLoop
) -> None:
    """Guards against a stop that reads the rest of a request and drops it (LOST)."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        received = runner.run(close_between_two_halves(size, is_graceful))
    assert received.endswith(b"read %d" % size)
