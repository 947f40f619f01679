"""Calls to an upstream whose responses are late, duplicated or truncated."""

from __future__ import annotations

import asyncio

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.gateway.hold_client import UNKNOWN_OUTCOME_ERRORS
from sassafraswharf.gateway.hold_client import HoldClient
from sassafraswharf.platform.hold_calls import HoldCalls


ROW = GrantedRow(0, 99, 5, "")
HELD = HeldRow(0, 99, 5)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 200 OK\r\nHandover: token\r\nContent-Length: 0\r\n\r\n"
WORK_S = 0.2
LIMIT_BYTES = 64 * 1_048_576
"""More than the buffers of both sockets hold."""
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_call(reader: asyncio.StreamReader) -> bytes:
    """Return the path of the next call."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    await reader.readexactly(length)
    return head.split()[1]


def run(script: Script, check: Callable[[HoldClient], Awaitable[None]]) -> None:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await script(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def main() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        client = HoldClient(address, HoldCalls(), BootClock())
        try:
            async with asyncio.timeout(5):
                await check(client)
        finally:
            client.close()
            server.close()

    asyncio.run(main())


def test_a_duplicate_response_to_a_grant_is_not_treated_as_a_release() -> None:
    """Guards against keys that move while requests for them still run.

    The duplicate arrives in place of the response to the next call.
    """

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        granted = False
        while True:
            path = await read_call(reader)
            if path.endswith(b"/grant"):
                writer.write(OK)
                granted = True
                continue
            if granted:
                writer.write(OK)
            await asyncio.sleep(WORK_S)
            writer.write(RELEASED)

    async def check(client: HoldClient) -> None:
        granted = await client.grant("i-1", lambda: (ROW, 3.0))
        assert granted is not None
        began = asyncio.get_running_loop().time()
        released = await client.release("i-1", HELD)
        took_s = asyncio.get_running_loop().time() - began
        assert (released.status, released.handover) == (200, "token")
        assert took_s >= WORK_S

    run(script, check)


@pytest.mark.parametrize("sent", [b"", OK[:20], b"no answer\r\n\r\n"])
def test_a_call_without_a_whole_answer_has_no_outcome(sent: bytes) -> None:
    """Guards against a grant that counts as rejected although it was executed."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await read_call(reader)
        writer.write(sent)

    async def check(client: HoldClient) -> None:
        with pytest.raises(UNKNOWN_OUTCOME_ERRORS):
            await client.grant("i-1", lambda: (ROW, 3.0))

    run(script, check)


@pytest.mark.parametrize("call", ["grant", "release"])
@pytest.mark.parametrize(
    "beginning",
    [
        pytest.param(b"", id="status line"),
        pytest.param(b"HTTP/1.1 200 OK\r\nX: ", id="head"),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n", id="body"),
        pytest.param(OK.replace(b": 0", b": 999999999999"), id="body with a length"),
    ],
)
def test_bytes_without_end_end_a_call_at_once(beginning: bytes, call: str) -> None:
    """Guards against a router that runs out of memory because of one upstream."""
    sent = 0

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        await read_call(reader)
        writer.write(beginning)
        while sent < LIMIT_BYTES:
            writer.write(b"x" * 65_536)
            sent += 65_536
            await writer.drain()

    async def check(client: HoldClient) -> None:
        calls = {
            "grant": lambda: client.grant("i-1", lambda: (ROW, 3.0)),
            "release": lambda: client.release("i-1", HELD),
        }
        with pytest.raises(UNKNOWN_OUTCOME_ERRORS):
            await calls[call]()
        await asyncio.sleep(0.1)
        assert sent < LIMIT_BYTES

    run(script, check)


def test_calls_to_grant_share_a_connection() -> None:
    """Guards against a new connection for each renewal of a hold."""
    opened: list[int] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.append(1)
        while True:
            await read_call(reader)
            writer.write(OK)

    async def check(client: HoldClient) -> None:
        for _ in range(5):
            assert await client.grant("i-1", lambda: (ROW, 3.0)) is not None
        assert await client.grant("i-1", lambda: None) is None

    run(script, check)
    assert len(opened) == 1
