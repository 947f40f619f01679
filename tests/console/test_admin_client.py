"""Tests the client of the admin API with control hosts that answer oddly."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from sassafraswharf.console import admin_client
from sassafraswharf.console.admin_client import AdminClient


@pytest.mark.parametrize("beginning", [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 "])
def test_an_answer_without_end_is_refused(
    beginning: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command that keeps endless bytes until its timeout."""
    limit = 1_048_576
    monkeypatch.setattr(admin_client, "MAX_ANSWER_BYTES", limit)
    sent = 0

    async def handle(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(beginning)
        with contextlib.suppress(ConnectionError):
            while sent < 64 * limit:
                writer.write(b"x" * 65_536)
                sent += 65_536
                await writer.drain()
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()[:2]
        async with AdminClient([f"{ip}:{port}"]) as client:
            answer = await client.get_from(f"{ip}:{port}", "/v1/status")
        assert answer.is_err()
        server.close()

    asyncio.run(main())
    assert sent < 64 * limit
