"""HTTP client for the calls that grant and release keys at an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import Protocol

from aiohttp import ClientPayloadError

from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.gateway.connection_pool import CONNECT_TIMEOUT_S
from sassafraswharf.gateway.connection_pool import ConnectionPool
from sassafraswharf.gateway.connection_pool import keep_alive_timeout_s
from sassafraswharf.gateway.http_connection import HttpConnection
from sassafraswharf.gateway.message_text import read_body


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.gateway.heartbeat import GrantedRow
    from sassafraswharf.gateway.http_connection import ResponseHead


UNKNOWN_OUTCOME_ERRORS: Final = (
    OSError,
    TimeoutError,
    ExchangeError,
    ClientPayloadError,
)
"""Raised by calls that the upstream may have executed or not."""


class HoldCallFormat(Protocol):
    """Wire format of the calls that grant and release keys.

    ``grant`` and ``release`` return a complete HTTP request.
    """

    def grant(self, row: GrantedRow, hold_s: float, host: str, name: str) -> bytes:
        """Return the call that grants a row to the upstream ``name``."""

    def release(self, row: HeldRow, host: str, name: str) -> bytes:
        """Return the call that releases keys."""

    def handover(self, response: ResponseHead) -> str:
        """Return the handover token in the response to a release."""


class HoldReply(NamedTuple):
    """The response to a call; ``handover`` is empty except for a release."""

    status: int
    handover: str


class HoldClient:
    """Sends calls over its own connections.

    Requests queue for the slots of the upstream; calls must not wait behind them.
    """

    def __init__(
        self, address: tuple[str, int], call_format: HoldCallFormat, clock: Clock
    ) -> None:
        """Create a client for ``address``; connections open on demand."""
        self.pool = ConnectionPool(address, clock)
        self.host = f"{address[0]}:{address[1]}"
        self.call_format = call_format

    async def grant(
        self, name: str, prepare: Callable[[], tuple[GrantedRow, float] | None]
    ) -> HoldReply | None:
        """Grant keys; return ``None`` if ``prepare`` returns ``None``.

        ``prepare`` is called once a connection is open and returns the row and the
        duration of the hold in seconds. Raises one of ``UNKNOWN_OUTCOME_ERRORS``.
        """
        connection = await self.pool.acquire()
        prepared = prepare()
        if prepared is None:
            self.pool.release(connection)
            return None
        row, hold_s = prepared
        call = self.call_format.grant(row, hold_s, self.host, name)
        try:
            reply = await self.exchange(connection, call)
        except BaseException:
            connection.abort()
            raise
        self.pool.release(connection, connection.idle_timeout_s)
        return reply

    async def release(self, name: str, row: HeldRow) -> HoldReply:
        """Release keys; returns when requests for them have finished.

        Each call has its own connection, because a duplicate response to an earlier
        call would be taken for the end of these requests. Raises one of
        ``UNKNOWN_OUTCOME_ERRORS``.
        """
        connection = await HttpConnection.connect(self.pool.address, CONNECT_TIMEOUT_S)
        try:
            call = self.call_format.release(row, self.host, name)
            return await self.exchange(connection, call)
        finally:
            connection.abort()

    async def exchange(self, connection: HttpConnection, call: bytes) -> HoldReply:
        """Send a call and read its response."""
        connection.begin(call, b"")
        response = await connection.receive()
        _, rest = await read_body(response.content)
        if rest is not None:
            raise ExchangeError("the answer is too long", sent=True)
        connection.idle_timeout_s = keep_alive_timeout_s(response)
        return HoldReply(response.status, self.call_format.handover(response))

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()
