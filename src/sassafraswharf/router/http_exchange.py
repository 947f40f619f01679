"""An HTTP client for upstreams and other routers that reports how requests end."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import aiohttp

from multidict import CIMultiDict
from yarl import URL

from sassafraswharf.requests.outcome import Exchange
from sassafraswharf.requests.outcome import exchange_of_answer
from sassafraswharf.router import headers


if TYPE_CHECKING:
    from collections.abc import Mapping


KEEPALIVE_TIMEOUT_S: Final = 60.0
UNLIMITED_CONNECTIONS: Final = 0


class HttpAnswer(NamedTuple):
    """The result of an exchange; the answer is empty unless it is complete."""

    exchange: Exchange
    status: int = 0
    headers: CIMultiDict[str] = CIMultiDict()
    body: bytes = b""


class HttpPeer:
    """A pool of keep-alive connections to one address.

    By default aiohttp retries GET, PUT and other methods if a keep-alive connection
    turns out to be closed. That could run an at-most-once PUT twice and let one
    request crash two processes, so these retries are disabled.
    """

    def __init__(self, address: str, connections: int = UNLIMITED_CONNECTIONS) -> None:
        """Connect on demand to ``address`` (``ip:port``), at most ``connections``."""
        self.address = address
        connector = aiohttp.TCPConnector(
            limit=connections,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            use_dns_cache=False,
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            requote_redirect_url=False,
        )
        self.session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def send(
        self,
        method: str,
        target: str,
        fields: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        max_body_bytes: int,
    ) -> HttpAnswer:
        """Send a request and read the complete answer within ``timeout_s``."""
        progress = ExchangeProgress()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.exchange(
                    method, target, fields, body, max_body_bytes, progress
                )
        except TimeoutError:
            return HttpAnswer(progress.timeout_exchange())
        except aiohttp.ClientConnectorError:
            return HttpAnswer(Exchange.CONNECTION_REFUSED)
        except aiohttp.ClientPayloadError:
            return HttpAnswer(Exchange.CUT_SHORT)
        except (aiohttp.ClientError, OSError):
            return HttpAnswer(Exchange.CONNECTION_LOST)

    async def exchange(
        self,
        method: str,
        target: str,
        fields: Mapping[str, str],
        body: bytes,
        max_body_bytes: int,
        progress: ExchangeProgress,
    ) -> HttpAnswer:
        """Run the exchange; timeouts and client errors propagate."""
        url = URL(f"http://{self.address}{target}", encoded=True)
        async with self.session.request(
            method,
            url,
            headers=fields,
            data=body or None,
            allow_redirects=False,
        ) as response:
            progress.has_response_headers = True
            length = response.content_length or 0
            if length > max_body_bytes:
                return HttpAnswer(Exchange.TOO_LARGE)
            answer = await read_limited(response, max_body_bytes)
        if answer is None:
            return HttpAnswer(Exchange.TOO_LARGE)
        ended = exchange_of_answer(
            response.status, headers.NOT_RUN in response.headers, complete=True
        )
        return HttpAnswer(ended, response.status, CIMultiDict(response.headers), answer)


class ExchangeProgress:
    """Progress of an exchange, which determines the meaning of a timeout."""

    def __init__(self) -> None:
        """Start without response headers."""
        self.has_response_headers = False

    def timeout_exchange(self) -> Exchange:
        """Return the result of an exchange that timed out."""
        return Exchange.CUT_SHORT if self.has_response_headers else Exchange.TIMED_OUT


async def read_limited(response: aiohttp.ClientResponse, limit: int) -> bytes | None:
    """Return the complete body, or None if it is longer than ``limit`` bytes."""
    if response.content_length is not None:
        return await response.read()
    parts = bytearray()
    async for part in response.content.iter_any():
        parts += part
        if len(parts) > limit:
            return None
    return bytes(parts)
