"""A caller's connection, read byte by byte as a strict client would."""

from __future__ import annotations

import asyncio

from typing import Final
from typing import NamedTuple


MAX_LINE_BYTES: Final = 65_536


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def ends_connection(self) -> bool:
        """Return whether no request may follow on the connection."""
        return self.headers.get("connection", "").lower() == "close"


class GarbledError(Exception):
    """The received bytes are not a valid answer."""


class Connection:
    """One connection to a router, used until its other end closes it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take an open connection."""
        self.reader = reader
        self.writer = writer
        self.request_count = 0

    @classmethod
    async def open(cls, ip: str, port: int) -> Connection:
        """Connect; raises ``OSError``."""
        return cls(*await asyncio.open_connection(ip, port, limit=MAX_LINE_BYTES))

    def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a whole request."""
        fields = dict(headers)
        if method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        self.request_count += 1

    async def receive(self) -> Answer:
        """Read the next answer.

        Raises ``IncompleteReadError`` or ``OSError`` when the connection ends, and
        ``GarbledError``.
        """
        status_line = await self.read_line()
        parts = status_line.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or len(parts[1]) != 3:
            raise GarbledError(status_line)
        headers = {}
        while line := await self.read_line():
            name, colon, value = line.partition(":")
            if not colon:
                raise GarbledError(line)
            headers[name.strip().lower()] = value.strip()
        try:
            body = await self.read_body(headers)
            return Answer(int(parts[1]), headers, body)
        except ValueError as error:
            raise GarbledError(str(error)) from error

    async def read_line(self) -> str:
        """Read one line of a head."""
        try:
            line = await self.reader.readuntil(b"\r\n")
        except asyncio.LimitOverrunError as error:
            raise GarbledError(str(error)) from error
        return line[:-2].decode("latin-1")

    async def read_body(self, headers: dict[str, str]) -> bytes:
        """Read the body that a head announces."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await self.read_chunks()
        if "content-length" in headers:
            return await self.reader.readexactly(int(headers["content-length"]))
        return await self.reader.read()

    async def read_chunks(self) -> bytes:
        """Read a body in chunks, with its trailers."""
        chunks = []
        while size := int((await self.read_line()).split(";")[0], 16):
            chunks.append(await self.reader.readexactly(size))
            if await self.read_line():
                raise GarbledError("a chunk is longer than its size")
        while await self.read_line():
            pass
        return b"".join(chunks)

    async def wait_idle(self, pause_s: float) -> bytes | None:
        """Wait without a request; return stray bytes, empty if the other end closed.

        ``None`` is a connection that can be used on.
        """
        try:
            return await asyncio.wait_for(self.reader.read(MAX_LINE_BYTES), pause_s)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()
