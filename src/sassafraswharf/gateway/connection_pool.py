"""Pool of keep-alive connections to one address."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.gateway.http_connection import HttpConnection


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.gateway.http_connection import ResponseHead
    from sassafraswharf.observability.traffic import Flow


CONNECT_TIMEOUT_S: Final = 0.4
IDLE_TIMEOUT_S: Final = 8.0
"""Below the idle timeout of common servers, so that a request is rarely sent on a
connection that the server is closing."""
MAX_IDLE_CONNECTIONS: Final = 32


class ConnectionPool:
    """Reuses idle connections, the most recently used one first."""

    def __init__(
        self,
        address: tuple[str, int],
        clock: Clock,
        identity_header: str = "",
        flow: Flow | None = None,
    ) -> None:
        """Create a pool that connects to ``address`` on demand."""
        self.flow = flow
        self.address = address
        self.clock = clock
        self.identity_header = identity_header
        self.idle: list[HttpConnection] = []
        self.opened = 0
        self.closed = False

    async def acquire(self, timeout_s: float = CONNECT_TIMEOUT_S) -> HttpConnection:
        """Return a usable connection; raises ``OSError`` or ``TimeoutError``."""
        now = self.clock.now()
        while self.idle:
            connection = self.idle.pop()
            idle_s = now - connection.idle_since
            if connection.is_reusable and idle_s < connection.idle_timeout_s:
                return connection
            connection.abort()
        return await self.connect(timeout_s)

    async def probe(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Open another connection and pool it; raises as ``acquire`` does."""
        self.release(await self.connect(timeout_s))

    async def connect(self, timeout_s: float) -> HttpConnection:
        """Open a connection; raises as ``acquire`` does."""
        self.opened += 1
        return await HttpConnection.connect(
            self.address, timeout_s, self.identity_header, self.flow
        )

    def release(
        self, connection: HttpConnection, idle_timeout_s: float = IDLE_TIMEOUT_S
    ) -> None:
        """Return a connection to the pool after its exchange, or close it."""
        connection.finish()
        if not connection.is_reusable:
            return
        if self.closed or len(self.idle) >= MAX_IDLE_CONNECTIONS:
            connection.abort()
            return
        connection.idle_since = self.clock.now()
        connection.idle_timeout_s = min(idle_timeout_s, IDLE_TIMEOUT_S)
        connection.has_sent = False
        connection.owned_by_response = False
        self.idle.append(connection)
        if self.idle[0].idle_since + IDLE_TIMEOUT_S < connection.idle_since:
            self.idle.pop(0).abort()

    def close(self) -> None:
        """Close all idle connections, and pool none from now on."""
        self.closed = True
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


def keep_alive_timeout_s(response: ResponseHead) -> float:
    """Return how long an idle connection may be reused, from ``Keep-Alive`` if sent.

    >>> from multidict import CIMultiDict, CIMultiDictProxy
    >>> from sassafraswharf.gateway.http_connection import ResponseHead
    >>> fields = CIMultiDictProxy(CIMultiDict({"Keep-Alive": "timeout=5"}))
    >>> idle_limit_s(ResponseHead(200, fields, None))
    4.0
    """
    for part in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return max(0.0, float(value) - 1.0)
    return IDLE_TIMEOUT_S
