"""Encodes request heads and chunked bodies, and reads bodies of HTTP messages."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.router.headers import end_to_end


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

    from aiohttp.streams import StreamReader

    from sassafraswharf.gateway.http_connection import ResponseHead
    from sassafraswharf.gateway.work import Work


MAX_BUFFERED_BODY_BYTES: Final = 262_144
"""Longer bodies are streamed, so that memory stays bounded."""
DIGEST_BYTES: Final = 16
BODYLESS_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "DELETE", "TRACE"})


def request_head(work: Work, fields: Iterable[tuple[str, str]]) -> bytes:
    """Return the request line and headers of a request."""
    lines = [f"{work.method} {work.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in fields)
    if work.rest is not None:
        lines.append("Transfer-Encoding: chunked")
    elif work.body or work.method not in BODYLESS_METHODS:
        lines.append(f"Content-Length: {len(work.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")


async def encode_chunked(
    first: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield a body in the chunked transfer coding."""
    yield encode_chunk(first)
    async for part in rest:
        if part:
            yield encode_chunk(part)
    yield b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    r"""Return one chunk of the chunked transfer coding.

    >>> encode_chunk(b"hello")
    b'5\r\nhello\r\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data)


def one_line(text: str) -> str:
    r"""Return a text of any characters as one line that is valid in a header.

    >>> one_line("Bad status line:\n  \x01\udcff")
    'Bad status line:'
    """
    printable = (sign if sign.isprintable() else " " for sign in text)
    return " ".join("".join(printable).split())


def response_headers(response: ResponseHead) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers of a response."""
    return tuple(end_to_end(response.headers.items()))


async def read_body(
    content: StreamReader,
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Return a whole body, or its beginning and an iterator of the rest.

    Raises the stream's error if the body is cut short.
    """
    # A list of many tiny parts would need a multiple of their size in memory.
    body = bytearray()
    while True:
        part = await content.readany()
        if not part and content.at_eof():
            return bytes(body), None
        body += part
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            return bytes(body), remaining_body(content)


def digest_of_beginning(body: bytes) -> bytes:
    """Return a digest of the first bytes of a body that is too long to buffer.

    It is the same however the bytes are split on their way.
    """
    return blake2b(body[:MAX_BUFFERED_BODY_BYTES], digest_size=DIGEST_BYTES).digest()


async def remaining_body(content: StreamReader) -> AsyncIterator[bytes]:
    """Yield the rest of a body."""
    while not content.at_eof():
        part = await content.readany()
        if part:
            yield part
