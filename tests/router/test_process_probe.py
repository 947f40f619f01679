from __future__ import annotations

import asyncio
import socket

from typing import TYPE_CHECKING

import pytest

from sassafraswharf.router.process_probe import has_exited


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Serve = Callable[[socket.socket], Awaitable[None]]


DELAY_S = 0.05


async def close_at_once(listener: socket.socket) -> None:
    listener.close()


async def close_late(listener: socket.socket) -> None:
    """Close the listening socket after the connections, like an exiting process."""
    await asyncio.sleep(DELAY_S)
    listener.close()


async def answer(listener: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(listener)
    await loop.sock_recv(connection, 1024)
    await loop.sock_sendall(connection, b"HTTP/1.1 200 OK\r\n\r\n")
    connection.close()


async def close_then_answer(listener: socket.socket) -> None:
    connection, _ = await asyncio.get_running_loop().sock_accept(listener)
    connection.close()
    await answer(listener)


async def stay_silent(_listener: socket.socket) -> None:
    return


@pytest.mark.parametrize(
    ("serve", "ended"),
    [
        (close_at_once, True),
        (close_late, True),
        (answer, False),
        (close_then_answer, False),
        (stay_silent, False),
    ],
)
def test_only_a_process_that_refuses_connections_has_exited(
    serve: Serve, ended: bool
) -> None:
    """Guards against a crash that isn't reported because the port closes last.

    The request that caused it would then be retried without being run alone.
    """

    async def probe() -> bool:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        host, port = listener.getsockname()
        serving = asyncio.create_task(serve(listener))
        await asyncio.sleep(0)
        try:
            return await has_exited(f"{host}:{port}")
        finally:
            await serving
            listener.close()

    assert asyncio.run(probe()) is ended
