"""Responses that upstreams send early, late, twice or truncated."""

from __future__ import annotations

import asyncio
import socket
import struct

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator

import pytest
import uvloop

from aiohttp import ClientPayloadError

from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.gateway.http_connection import HttpConnection


HEAD = b"GET / HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n\r\n"
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@pytest.fixture(
    autouse=True, params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def _loops(request: pytest.FixtureRequest) -> Iterator[None]:
    """Run on asyncio and on uvloop, which reports closed sockets differently."""
    before = asyncio.get_event_loop_policy()
    asyncio.set_event_loop_policy(request.param())
    yield
    asyncio.set_event_loop_policy(before)


def answer(identity: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n"
        % (identity.encode(), size)
    ) + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly close."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve(script: Script) -> tuple[asyncio.Server, HttpConnection]:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await script(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    return server, await HttpConnection.connect(address, 2.0, "X-Id")


async def exchange(connection: HttpConnection, identity: str) -> bytes:
    connection.begin(HEAD, b"", identity)
    async with asyncio.timeout(5):
        response = await connection.receive()
        body = await response.content.read()
    connection.finish()
    return body


def run(script: Script, check: Callable[[HttpConnection], Awaitable[None]]) -> None:
    async def main() -> None:
        server, connection = await serve(script)
        try:
            await check(connection)
        finally:
            connection.abort()
            server.close()
            await server.wait_closed()

    asyncio.run(main())


def test_a_late_second_answer_is_skipped() -> None:
    """Guards against the response to an earlier request (`garble`, extra late)."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer("1", b"first"))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer("1", b"again") + answer("2", b"second"))
        await reader.read()

    async def check(connection: HttpConnection) -> None:
        assert await exchange(connection, "1") == b"first"
        assert connection.is_reusable
        assert await exchange(connection, "2") == b"second"
        assert not connection.is_reusable

    run(script, check)


def test_bytes_on_an_idle_connection_close_it() -> None:
    """Guards against bytes that belong to no request (`garble`, extra)."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer("1", b"first"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer("1", b"again"))
        await reader.read()

    async def check(connection: HttpConnection) -> None:
        assert await exchange(connection, "1") == b"first"
        await asyncio.sleep(0.5)
        assert not connection.is_reusable

    run(script, check)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_truncated_response_is_not_treated_as_complete(
    end: str, framing: str
) -> None:
    """Guards against a truncated response that is treated as complete."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if framing == "length":
            writer.write(answer("1", b"half", 99))
        else:
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"4\r\nhalf\r\n"
            )
        await writer.drain()
        await asyncio.sleep(0.05)
        if end == "reset":
            reset(writer)

    async def check(connection: HttpConnection) -> None:
        with pytest.raises((ClientPayloadError, ExchangeError)):
            await exchange(connection, "1")
        assert not connection.is_reusable

    run(script, check)


@pytest.mark.parametrize(("end", "whole"), [("close", True), ("reset", False)])
def test_an_answer_without_length_ends_with_a_close_only(end: str, whole: bool) -> None:
    """Guards against a reset that is treated as the end of a response."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")
        await writer.drain()
        await asyncio.sleep(0.05)
        if end == "reset":
            reset(writer)

    async def check(connection: HttpConnection) -> None:
        if whole:
            assert await exchange(connection, "1") == b"body"
            return
        with pytest.raises((ClientPayloadError, ExchangeError)):
            await exchange(connection, "1")

    run(script, check)


@pytest.mark.parametrize(
    ("data", "sent"), [(b"not http at all\r\n\r\n", True), (b"", True)]
)
def test_bytes_that_are_no_response_are_an_error(data: bytes, sent: bool) -> None:
    """Guards against a sent request that is reported as not sent."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)

    async def check(connection: HttpConnection) -> None:
        with pytest.raises(ExchangeError) as caught:
            await exchange(connection, "1")
        assert caught.value.sent is sent

    run(script, check)


def test_a_response_before_the_end_of_a_long_body_closes_the_connection() -> None:
    """Guards against a peer that reads the next request as part of the body."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer("1", b"early"))
        await reader.read()

    async def body() -> object:
        for _ in range(1000):
            yield b"x" * 100
            await asyncio.sleep(0.01)

    async def check(connection: HttpConnection) -> None:
        connection.begin(HEAD, b"", "1")
        async with asyncio.timeout(5):
            response = await connection.receive_while_sending(body())
            assert await response.content.read() == b"early"
        connection.finish()
        assert not connection.is_reusable

    run(script, check)


def test_a_connection_that_its_peer_has_closed_is_not_reused() -> None:
    """Guards against a booking that is called unknown although it was never sent.

    The transport closes one step of the loop before the protocol is told. What is
    written in between is dropped.
    """
    reusable: list[bool] = []

    class Watched(HttpConnection):
        def eof_received(self) -> bool | None:
            keeps_open = super().eof_received()
            self._loop.call_soon(lambda: reusable.append(self.is_reusable))
            return keeps_open

    async def close(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(close, "127.0.0.1", 0)
        connection = await Watched.connect(server.sockets[0].getsockname()[:2], 2.0)
        for _ in range(100):
            if reusable:
                break
            await asyncio.sleep(0.01)
        connection.abort()
        server.close()
        await asyncio.sleep(0.01)

    asyncio.run(main())
    assert reusable == [False]
