"""Tests that an upstream can't fill the memory of its router with a ping."""

from __future__ import annotations

import asyncio

from aiohttp import web

from sassafraswharf.platform.main import MAX_PING_BYTES
from sassafraswharf.platform.main import create_server


PART = b"x" * 65_536


def test_a_ping_without_end_is_refused() -> None:
    """Guards against requests of callers that end with a router out of memory."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(text=str(len(await request.read())))

    async def main() -> tuple[bytes, int]:
        server = create_server(handle, MAX_PING_BYTES)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        answer = asyncio.create_task(reader.readuntil(b"\r\n"))
        sent = 0
        while not answer.done() and sent < 32 * MAX_PING_BYTES:
            writer.write(b"%x\r\n%s\r\n" % (len(PART), PART))
            sent += len(PART)
            await writer.drain()
            await asyncio.sleep(0)
        line = await asyncio.wait_for(answer, 5.0)
        writer.close()
        await server.stop()
        return line, sent

    line, sent = asyncio.run(main())
    assert b" 413 " in line
    assert sent < 32 * MAX_PING_BYTES
