"""An HTTP server with limits on request heads and a graceful stop."""

from __future__ import annotations

import asyncio

from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from aiohttp import HttpVersion11
from aiohttp import web

from sassafraswharf.codes import ResultCode
from sassafraswharf.exceptions import TransportError
from sassafraswharf.failure import Failure
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.answers import to_response


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


KEEPALIVE_TIMEOUT_S: Final = 75.0
MAX_PARSER_HEAD_BYTES: Final = 1_048_576
"""The parser limits the request line and each field. A head may consist of any one
of them, so each limit is the largest ``max_header_bytes`` that settings allow. The
complete head is limited by ``HttpServer.max_header_bytes``."""
MIN_FIELD_BYTES: Final = 4
"""A name of one character, the colon and the line end."""
REQUEST_LINE_OVERHEAD_BYTES: Final = 14
"""Two spaces, ``HTTP/1.1``, the line end and the empty line."""
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD_TOO_LARGE_RESPONSE: Final = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
LISTEN_BACKLOG: Final = 1_024
FIRST_SERVER_ERROR_STATUS: Final = 500
FIRST_REQUEST_WAIT_S: Final = 0.25
"""How long a newly accepted connection may take to send its first request."""
POLL_ITERATIONS: Final = 4
"""Iterations of the event loop until a connection is accepted, read and handled."""
MAX_REASON_CHARACTERS: Final = 100
WAITED_S: Final = web.RequestKey("waited_s", float)
"""How long a request has waited for earlier requests on its connection."""


def ignore_malformed(_reason: str) -> None:
    """Ignore the reason why a request was rejected as malformed."""


def head_bytes(request: web.BaseRequest) -> int:
    """Return the length of a head, without the whitespace around field values."""
    line = len(request.method) + len(request.raw_path) + REQUEST_LINE_OVERHEAD_BYTES
    return line + sum(
        len(name) + len(value) + MIN_FIELD_BYTES - 1
        for name, value in request.raw_headers
    )


def waited_s(request: web.BaseRequest) -> float:
    """Return how long a request has waited for earlier ones on its connection."""
    seconds: float = request.get(WAITED_S, 0.0)
    return seconds


async def send_continue(request: web.BaseRequest) -> None:
    """Send status 100 to a caller that expects it (RFC 9110, section 10.1.1).

    It is also sent for requests that will be refused: after a refusal in place of
    status 100, it would be undefined whether the body still follows.
    """
    expected = request.headers.get("Expect", "").lower()
    if expected != "100-continue" or request.version < HttpVersion11:
        return
    if request.can_read_body:
        await request.writer.write(CONTINUE_RESPONSE)
        # Only the final response counts as output.
        request.writer.output_size = 0


class LimitedHeadProtocol(web.RequestHandler):
    """Closes a connection whose request head arrives too slowly or is too long.

    aiohttp limits the time between requests but not the time in which headers must
    arrive, so a few slow callers could hold many connections. It limits each field
    and the number of fields but not their total size. ``unread_bytes`` counts the
    bytes received since a request or a part of its body was last parsed: a head,
    chunk extensions or trailers, all of which the parser buffers.
    """

    __slots__ = (
        "arrival_times",
        "head_timeout_s",
        "head_timer",
        "last_body",
        "max_header_bytes",
        "on_malformed",
        "unread_bytes",
    )

    arrival_times: deque[float]
    last_body: StreamReader | None
    head_timeout_s: float
    max_header_bytes: Callable[[], int]
    on_malformed: Callable[[str], None]
    head_timer: asyncio.TimerHandle | None
    unread_bytes: int

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize the state and start the head timer of the first request."""
        super().connection_made(transport)
        self.head_timer = None
        self.arrival_times = deque()
        self.last_body = None
        self.unread_bytes = 0
        self.start_head_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the head timer."""
        self.stop_head_timer()
        super().connection_lost(exc)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is only waiting for its next request."""
        return self._waiter is not None and not self._waiter.done()

    def data_received(self, data: bytes) -> None:
        """Parse data, with a timer for a head that begins on an idle connection.

        Data that arrives before the last request has ended may be part of its body.
        """
        if self.head_timer is None and self.is_idle:
            self.start_head_timer()
        before = self.parse_progress()
        self.parse(data)
        if arrived := self._request_count - before[0]:
            self.stop_head_timer()
            self.arrival_times.extend([self._loop.time()] * arrived)
        if self._messages:
            self.last_body = self._messages[-1][1]
        if self.parse_progress() != before:
            self.unread_bytes = 0
            return
        if self._close or self._force_close or self._upgraded:
            # aiohttp drops the data or limits its size.
            return
        self.unread_bytes += len(data)
        if self.unread_bytes > self.max_header_bytes():
            self.reject_head()

    def parse(self, data: bytes) -> None:
        """Parse data, including the rest of a request while the connection is closing.

        aiohttp drops data on a closing connection. A request with an incomplete body
        would wait for the rest of it and never be answered.
        """
        closing = self._close
        self._close = closing and (self.last_body is None or self.last_body.is_eof())
        super().data_received(data)
        self._close = self._close or closing

    def close(self) -> None:
        """Close the connection once none of its requests is being answered.

        For an idle connection, aiohttp only ends the handler task. The connection
        would stay open, and its next request would be read and dropped.
        """
        is_idle = self.is_idle
        super().close()
        if is_idle or not self._request_count:
            self.force_close()

    def parse_progress(self) -> tuple[int, int]:
        """Return the number of requests and the body length of the last one."""
        received = 0 if self.last_body is None else self.last_body.total_bytes
        return self._request_count, received

    def reject_head(self) -> None:
        """Close a connection whose next head or trailers exceed the limit."""
        if self.transport is None:
            return
        self.on_malformed("the head or the trailers are too large")
        if self._current_request is None and not self._messages:
            self.transport.write(HEAD_TOO_LARGE_RESPONSE)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = FIRST_SERVER_ERROR_STATUS,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a response with a numbered code for an error of aiohttp or a handler.

        The message of aiohttp echoes input of the caller, so only its first line is
        used. ``on_malformed`` gets that line and must limit what it logs, because
        callers could otherwise fill the log.
        """
        if status >= FIRST_SERVER_ERROR_STATUS:
            super().handle_error(request, status, exc, message)
            failure = Failure(ResultCode.OUTCOME_UNKNOWN, "the router failed")
            return to_response(refusal(failure), "", close=True)
        if request.writer.output_size > 0:
            # Part of a response has been sent, so the connection can only be closed.
            raise ConnectionError("the answer has already begun")
        reason = (message or "malformed request").partition("\n")[0]
        reason = reason[:MAX_REASON_CHARACTERS]
        self.on_malformed(reason)
        failure = Failure(ResultCode.BAD_REQUEST, reason)
        return to_response(refusal(failure), "", close=True)

    def start_head_timer(self) -> None:
        """Close the connection unless a complete head arrives in time."""
        self.head_timer = self._loop.call_later(self.head_timeout_s, self.force_close)

    def stop_head_timer(self) -> None:
        """Stop the timer after a complete head has arrived."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None


class HttpServer(web.Server):
    """A listening HTTP port with limits on heads and bodies.

    A handler is cancelled when its caller closes the connection. Bodies keep their
    content encoding, because they are forwarded with the ``Content-Encoding`` header.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        max_body_bytes: int,
        max_header_bytes: int,
        header_timeout_s: float,
        on_malformed: Callable[[str], None] = ignore_malformed,
    ) -> None:
        """Create a server that does not listen yet.

        ``max_header_bytes`` limits the request line and all fields together; it may
        be changed later. ``on_malformed`` gets the reason why a request was refused
        before it reached the handler.
        """
        super().__init__(
            self.track_active(handler),
            request_factory=self.create_request,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_PARSER_HEAD_BYTES,
            max_field_size=MAX_PARSER_HEAD_BYTES,
            max_headers=MAX_PARSER_HEAD_BYTES // MIN_FIELD_BYTES,
            auto_decompress=False,
            access_log=None,
        )
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes
        self.header_timeout_s = header_timeout_s
        self.on_malformed = on_malformed
        self.server: asyncio.Server | None = None
        self.active_requests = 0
        self.no_active_requests = asyncio.Event()
        self.no_active_requests.set()

    def __call__(self) -> web.RequestHandler:
        """Create the protocol of a new connection."""
        protocol = LimitedHeadProtocol(self, loop=self._loop, **self._kwargs)
        protocol.head_timeout_s = self.header_timeout_s
        protocol.max_header_bytes = self.head_limit
        protocol.on_malformed = self.on_malformed
        return protocol

    def head_limit(self) -> int:
        """Return the current limit for the length of a head."""
        return self.max_header_bytes

    def track_active(self, handler: Handler) -> Handler:
        """Wrap the handler to check the head length and count active requests."""

        async def guarded(request: web.BaseRequest) -> web.StreamResponse:
            if head_bytes(request) > self.max_header_bytes:
                reason = "the head is too large"
                self.on_malformed(reason)
                failure = Failure(ResultCode.BAD_REQUEST, reason)
                return to_response(refusal(failure), "", close=True)
            self.active_requests += 1
            self.no_active_requests.clear()
            try:
                await send_continue(request)
                return await handler(request)
            finally:
                self.active_requests -= 1
                if not self.active_requests:
                    self.no_active_requests.set()

        return guarded

    def create_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: Any,  # noqa: ANN401 - the type is private to aiohttp
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Create a request with a body limit, and record how long it has waited."""
        request = web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self.max_body_bytes,
        )
        if isinstance(protocol, LimitedHeadProtocol) and protocol.arrival_times:
            request[WAITED_S] = self._loop.time() - protocol.arrival_times.popleft()
        return request

    async def start(self, address: str, port: int) -> int:
        """Listen and return the port; raises ``TransportError`` on failure."""
        loop = asyncio.get_running_loop()
        try:
            self.server = await loop.create_server(
                self, address, port, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            reason = f"can't listen on {address}:{port}: {error}"
            failure = Failure(ResultCode.PEER_UNREACHABLE, reason)
            raise TransportError(failure) from error
        return int(self.server.sockets[0].getsockname()[1])

    async def stop_accepting(self) -> None:
        """Close the listening socket and idle connections.

        Pending connections and data are accepted and read first. A busy event loop
        may not have polled them yet, and closing a connection would lose its request.
        """
        await self.poll_sockets()
        if self.server is not None:
            self.server.close()
        await self.poll_sockets()
        self.pre_shutdown()

    async def stop_gracefully(self, timeout_s: float) -> bool:
        """Stop accepting and answer requests until none is active.

        Connections stay open meanwhile: a newly accepted one sends its request only a
        round trip later, and a busy event loop reads it even later. Requests that are
        answered immediately don't prolong the stop, because callers may send them
        until their connections are closed. Returns False if requests were still
        active after ``timeout_s``.
        """
        await self.poll_sockets()
        if self.server is not None:
            self.server.close()
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while (left_s := until - loop.time()) > 0:
            if not await self.drain(left_s):
                return False
            await asyncio.sleep(
                min(FIRST_REQUEST_WAIT_S, max(0.0, until - loop.time()))
            )
            if not self.active_requests:
                break
        self.pre_shutdown()
        # A request that has just been read is counted only when its handler starts.
        await self.poll_sockets()
        return await self.drain(until - loop.time())

    async def poll_sockets(self) -> None:
        """Let the event loop poll its sockets."""
        for _ in range(POLL_ITERATIONS):
            await asyncio.sleep(0)

    async def drain(self, timeout_s: float) -> bool:
        """Wait until no request is active; return False after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.no_active_requests.wait()
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """Close all connections; requests that are still active are aborted."""
        if self.server is not None:
            self.server.close()
        await self.shutdown(timeout=0.1)
