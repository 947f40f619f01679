"""HTTP client connection that carries one exchange at a time."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from aiohttp import ClientPayloadError
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser

from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.gateway.message_text import one_line
from sassafraswharf.gateway.message_text import request_head
from sassafraswharf.observability.traffic import Flow


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.streams import StreamReader
    from multidict import CIMultiDictProxy

    from sassafraswharf.gateway.work import Work


READ_BUFFER_BYTES: Final = 65_536
PEER_TIMEOUT_MS: Final = 3_000
"""TCP user timeout: the kernel closes a connection whose peer accepts no data for this
time, even if the peer answers window probes."""
UNLIMITED_PEER_TIMEOUT_MS: Final = 600_000
"""Longer than the timeout of any request. 0 would select the kernel's default."""
FIRST_FINAL_STATUS: Final = 200
MAX_REASON_CHARACTERS: Final = 175
STATUS_SWITCHING_PROTOCOLS: Final = 101
MAX_FIELD_BYTES: Final = 65_536
MAX_OVERHEAD_BYTES: Final = 131_072
"""Limit on consecutive bytes without a byte of the response's body: its head, interim
responses, responses to other requests, chunk extensions and trailers. aiohttp limits
the size and number of fields, together 8 MB, but not blank lines, spaces, interim
responses or chunk extensions. A stream buffers as much before it pauses."""
CONTROL_CHARACTER: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""The response parser accepts most of them in a field, but the response writer rejects
them, which would close the caller's connection without a response."""
PARSE_CHUNK_BYTES: Final = 16_384
"""Bytes parsed at a time, which limits the small messages of one read in memory."""


class ResponseHead(NamedTuple):
    """Status and headers of a response, and its body stream."""

    status: int
    headers: CIMultiDictProxy[str]
    content: StreamReader


class HttpConnection(BaseProtocol):
    """A connection to an upstream or another process.

    The client of aiohttp treats bytes that arrive on an idle connection as the start
    of the next response. Here such bytes close the connection. A response whose
    ``identity_header`` names another request is skipped, because an upstream may
    send a duplicate response, which arrives in place of the next one.
    """

    def __init__(self, identity_header: str = "", flow: Flow | None = None) -> None:
        """Create a connection that counts traffic in ``flow``; ``connect`` opens it."""
        super().__init__(asyncio.get_running_loop())
        self.flow = flow or Flow()
        self.identity_header = identity_header
        self.identity = ""
        self.peer = ""
        self.owned_by_response = False
        self.must_close = False
        self.is_idle = True
        self.has_sent = False
        self.owned_by_response = False
        self.idle_since = 0.0
        self.idle_timeout_s = 0.0
        self.user_timeout_ms = 0
        self.waiter: asyncio.Future[ResponseHead] | None = None
        self.content: StreamReader | None = None
        self.overhead_bytes = 0
        self.body_bytes = 0
        self.unparsed = b""

    @classmethod
    async def connect(
        cls,
        address: tuple[str, int],
        timeout_s: float,
        identity_header: str = "",
        flow: Flow | None = None,
    ) -> HttpConnection:
        """Open a connection; raises ``OSError`` or ``TimeoutError``."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: cls(identity_header, flow), *address
            )
        protocol.peer = address[0]
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the TCP user timeout."""
        super().connection_made(transport)
        self.set_user_timeout(PEER_TIMEOUT_MS)

    def set_user_timeout(self, limit_ms: int) -> None:
        """Set the time after which the kernel closes an unresponsive connection."""
        if limit_ms == self.user_timeout_ms or self.transport is None:
            return
        self.user_timeout_ms = limit_ms
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.is_idle and not self.must_close

    async def run(
        self, work: Work, fields: Iterable[tuple[str, str]], identity: str = ""
    ) -> ResponseHead:
        """Send a request with the headers ``fields``; return the response's head.

        An unresponsive peer may still run the request. The connection times out
        before the deadline only if the request may then be sent to another peer.
        """
        self.set_user_timeout(
            UNLIMITED_PEER_TIMEOUT_MS if work.is_sent_once else PEER_TIMEOUT_MS
        )
        head = request_head(work, fields)
        has_body = work.method != "HEAD"
        self.begin(head, work.body, identity, has_response_body=has_body)
        if work.rest is None:
            return await self.receive()
        return await self.receive_while_sending(work.rest)

    def begin(
        self,
        head: bytes,
        body: bytes,
        identity: str = "",
        *,
        has_response_body: bool = True,
    ) -> None:
        """Write a request; raises ``ExchangeError`` if the connection is closed.

        ``identity`` is what the response must echo in the identity header, if it
        has that header.
        """
        if self.transport is None or self.transport.is_closing():
            raise ExchangeError("the connection is closed", sent=False)
        self.is_idle = False
        self.identity = identity
        self.overhead_bytes = 0
        self.body_bytes = 0
        self.unparsed = b""
        self.waiter = self._loop.create_future()
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=has_response_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self.has_sent = True
        message = head + body
        self.flow.on_sent(len(message))
        self.transport.write(message)

    async def send_rest(self, rest: AsyncIterator[bytes]) -> None:
        """Write the rest of a long body with flow control until the peer closes."""
        async for part in rest:
            if self.transport is None:
                return
            self.flow.sent_bytes += len(part)
            self.transport.write(part)
            await self._drain_helper()

    async def receive_while_sending(self, rest: AsyncIterator[bytes]) -> ResponseHead:
        """Send a long body and return the head of the response.

        A response may arrive before the end of the body. The peer would then read
        the next request as part of the body, so the connection is not reused.
        """
        sending = asyncio.ensure_future(self.send_rest(rest))
        try:
            return await self.receive()
        finally:
            if not sending.done():
                self.must_close = True
                sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def receive(self) -> ResponseHead:
        """Return the head of the response; raises ``ExchangeError``."""
        if self.waiter is None:
            raise ExchangeError("no request was sent", sent=False)
        return await self.waiter

    def finish(self) -> None:
        """End the exchange; the connection is reusable if the response is complete."""
        if self.unparsed or (self.content is not None and not self.content.is_eof()):
            self.must_close = True
        self.content = None
        self.waiter = None
        self._parser = None
        self.is_idle = True
        if self.must_close:
            self.abort()

    def abort(self) -> None:
        """Close immediately, which also signals the upstream to cancel the request."""
        self.must_close = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a response."""
        self.flow.received_bytes += len(data)
        if self.content is not None and self.content.is_eof():
            # Bytes after the response belong to no request and are never read.
            self._parser = None
        if self._parser is None:
            if data:
                self.abort()
            return
        data, self.unparsed = self.unparsed + data, b""
        start = 0
        while self.parse(data[start : start + PARSE_CHUNK_BYTES]):
            start += PARSE_CHUNK_BYTES
            if start >= len(data):
                return
            if self._reading_paused:
                # Resumed by ``resume_reading``. The pure Python parser copies its
                # buffered input for each chunk of a body.
                self.unparsed = data[start:]
                return

    def parse(self, data: bytes) -> bool:
        """Parse some bytes; return whether the exchange can continue."""
        if self._parser is None:
            return False
        try:
            messages, _, tail = self._parser.feed_data(data)
        except HttpProcessingError as error:
            reason = one_line(error.message[:MAX_REASON_CHARACTERS])
            self.fail(f"the answer is malformed: {reason}")
            return False
        for message, content in messages:
            self.on_response(message, content)
        if tail:
            self.must_close = True
        return self.is_within_limits(len(data))

    def is_within_limits(self, size: int) -> bool:
        """Count bytes that carry no part of the body; fail if they exceed the limit."""
        content = self.content
        body_bytes = content.total_bytes if content is not None else 0
        if body_bytes != self.body_bytes or (content is not None and content.is_eof()):
            self.body_bytes = body_bytes
            self.overhead_bytes = 0
            return True
        self.overhead_bytes += size
        if content is None and self._reading_paused:
            self.fail("the answer to another request is too long to skip")
            return False
        if self.overhead_bytes <= MAX_OVERHEAD_BYTES:
            return True
        self.fail(f"more than {MAX_OVERHEAD_BYTES} bytes without a part of the answer")
        return False

    def on_response(self, message: RawResponseMessage, content: StreamReader) -> None:
        """Deliver a response, or skip one that belongs to another request."""
        if message.code == STATUS_SWITCHING_PROTOCOLS:
            self.fail("the answer changes the protocol")
            return
        if message.code < FIRST_FINAL_STATUS:
            return
        echoed = message.headers.get(self.identity_header, self.identity)
        waiter = self.waiter
        if waiter is None or waiter.done() or echoed != self.identity:
            self.must_close = True
            return
        if any(CONTROL_CHARACTER.search(value) for _, value in message.raw_headers):
            self.fail("the answer is malformed: a control character in its head")
            return
        if message.should_close:
            self.must_close = True
        self.content = content
        self.flow.received_messages += 1
        waiter.set_result(ResponseHead(message.code, message.headers, content))

    def fail(self, reason: str) -> None:
        """Fail the exchange and close the connection; no more input is parsed."""
        self.abort()
        self._parser = None
        self.fail_exchange(reason)

    def fail_exchange(self, reason: str) -> None:
        """Raise an error for the waiter of the response and the reader of its body."""
        waiter = self.waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(ExchangeError(reason, sent=self.has_sent))
            # Marks the exception as retrieved: the request may have been cancelled.
            waiter.exception()
        content = self.content
        if content is not None and not content.is_eof():
            content.set_exception(ClientPayloadError(reason))

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; an orderly close completes a response without a length."""
        self.must_close = True
        if exc is None and self._parser is not None and self.content is not None:
            with contextlib.suppress(HttpProcessingError, ClientPayloadError):
                self._parser.feed_eof()
        self.fail_exchange("the connection was lost")
        super().connection_lost(exc)
