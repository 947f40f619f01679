"""Answers of upstreams whose head can't be relayed."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import pytest
import uvloop

from tests.gateway.routers import LOOPBACK
from tests.gateway.routers import free_port
from tests.gateway.routers import make_router
from tests.gateway.routers import register_upstream


if TYPE_CHECKING:
    from collections.abc import Callable


REQUEST = b"GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n\r\n"
LONG_BYTES = 400_000


async def answer_of(field: bytes, body_bytes: int) -> bytes:
    """Return the first bytes a caller gets for an answer with a field value."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = b"HTTP/1.1 200 OK\r\nX: %s\r\nContent-Length: %d\r\n\r\n"
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head % (field, body_bytes) + b"b" * body_bytes)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    address = server.sockets[0].getsockname()[:2]
    router = make_router(address)
    register_upstream(router, address)
    caller_address = (LOOPBACK, free_port())
    await router.start(caller_address)
    reader, writer = await asyncio.open_connection(*caller_address)
    try:
        writer.write(REQUEST)
        async with asyncio.timeout(5):
            return await reader.read(65_536)
    except ConnectionError:
        return b""
    finally:
        writer.close()
        router.node = router.node._replace(
            terms=router.node.terms._replace(grace_s=0.7)
        )
        await router.stop()
        if router.local is not None:
            router.local.pool.close()
        server.close()


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uv"]
)
@pytest.mark.parametrize("body_bytes", [5, LONG_BYTES])
@pytest.mark.parametrize(
    ("field", "status"),
    [
        (b"a\x01b", 502),
        (b"a\x7fb", 502),
        (b"a\x00b", 502),
        (b"a\rb", 502),
        (b"a\tb", 200),
        (b"a\xffb", 200),
    ],
)
def test_every_head_of_an_answer_gets_the_caller_a_status(
    field: bytes,
    status: int,
    body_bytes: int,
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against a connection that is closed without an answer (LOST).

    A control character in a field passed the parser of answers, and aiohttp closed
    the caller's connection when it could not write it.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        received = runner.run(answer_of(field, body_bytes))
    assert received.startswith(b"HTTP/1.1 %d " % status)
