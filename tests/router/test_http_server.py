"""A planned stop answers every request that has arrived."""

from __future__ import annotations

import asyncio
import threading
import time

import pytest

from aiohttp import web

from sassafraswharf.router.http_server import HttpServer


REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BUSY_S = 0.4


async def answer(_request: web.BaseRequest) -> web.Response:
    await asyncio.sleep(0.05)
    return web.Response(text="whole")


async def stop_while_a_request_arrives(is_kept: bool, finishes: bool) -> bytes:
    """Return what a caller gets whose request arrived while the loop was busy."""
    server = HttpServer(
        answer, max_body_bytes=1024, max_header_bytes=8192, header_timeout_s=5.0
    )
    port = await server.start("127.0.0.1", 0)
    received = bytearray()

    def call() -> None:
        import socket

        with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
            if is_kept:
                connection.sendall(REQUEST)
                connection.recv(65_536)
            connected.set()
            go.wait(5)
            connection.sendall(REQUEST)
            while part := connection.recv(65_536):
                received.extend(part)

    connected, go = threading.Event(), threading.Event()
    thread = threading.Thread(target=call)
    thread.start()
    await asyncio.to_thread(connected.wait, 5)
    go.set()
    time.sleep(BUSY_S)  # noqa: ASYNC251 - the loop is to be busy
    if finishes:
        await server.finish(5)
    else:
        await server.stop_accepting()
        await server.drain(5)
    await server.stop()
    await asyncio.to_thread(thread.join, 5)
    return bytes(received)


@pytest.mark.parametrize("finishes", [True, False])
@pytest.mark.parametrize("is_kept", [True, False])
def test_a_request_that_arrived_unread_is_answered(
    is_kept: bool, finishes: bool
) -> None:
    """Guards against a stop that closes a connection with an unread request.

    Found by a replay: strapworks-cairo, hunt-73b1-7, requests sent 0.35 s before
    a busy router closed their connections.
    """
    received = asyncio.run(stop_while_a_request_arrives(is_kept, finishes))
    assert received.endswith(b"whole")


async def finish_while_a_caller_connects(pause_s: float) -> bytes:
    """Return what a caller gets that connects, pauses, and sends its request."""
    server = HttpServer(
        answer, max_body_bytes=1024, max_header_bytes=8192, header_timeout_s=5.0
    )
    port = await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    finishing = asyncio.create_task(server.finish(5))
    await asyncio.sleep(pause_s)
    writer.write(REQUEST)
    received = await reader.read(65_536)
    await finishing
    await server.stop()
    writer.close()
    return received


@pytest.mark.parametrize("pause_s", [0.0, 0.01, 0.1])
def test_a_caller_that_has_just_connected_is_answered(pause_s: float) -> None:
    """Guards against a stop between the connection and the request on it.

    Found by a hunt: strapworks-cairo, trouble-3 --seed 961102410245.
    """
    received = asyncio.run(finish_while_a_caller_connects(pause_s))
    assert received.endswith(b"whole")
