"""Calls to an upstream that grant keys or take them back."""

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
"""What a call raises whose outcome is unknown."""


class HoldCallFormat(Protocol):
    """How calls that grant and release keys are written.

    Each method but the last returns a whole HTTP request.
    """

    def grant(self, row: GrantedRow, hold_s: float, host: str, name: str) -> bytes:
        """Return the call that grants a row to the upstream ``name``."""

    def release(self, row: HeldRow, host: str, name: str) -> bytes:
        """Return the call that takes keys back."""

    def handover(self, response: ResponseHead) -> str:
        """Return the token that a release was answered with."""


class HoldReply(NamedTuple):
    """The answer to a call; ``handover`` is empty but for a release."""

    status: int
    handover: str


class HoldClient:
    """Sends calls over connections of its own.

    Requests wait for the slots of the upstream, which calls must not do.
    """

    def __init__(
        self, address: tuple[str, int], call_format: HoldCallFormat, clock: Clock
    ) -> None:
        """Prepare to call ``address``; connections open on demand."""
        self.pool = ConnectionPool(address, clock)
        self.host = f"{address[0]}:{address[1]}"
        self.call_format = call_format

    async def grant(
        self, name: str, prepare: Callable[[], tuple[GrantedRow, float] | None]
    ) -> HoldReply | None:
        """Grant keys; ``None`` if ``offer`` has nothing to grant any more.

        ``offer`` returns the row and the time in seconds for which it is granted,
        once a connection is open. Raises one of ``UNANSWERED``.
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
        """Take keys back; answered when the work on them has ended.

        Each call has a connection of its own: a second copy of the answer to an
        earlier call would look like the end of the work. Raises one of
        ``UNANSWERED``.
        """
        connection = await HttpConnection.connect(self.pool.address, CONNECT_TIMEOUT_S)
        try:
            call = self.call_format.release(row, self.host, name)
            return await self.exchange(connection, call)
        finally:
            connection.abort()

    async def exchange(self, connection: HttpConnection, call: bytes) -> HoldReply:
        """Send a call and read its answer."""
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
