"""HTTP client of the admin API that locates the leader."""

from __future__ import annotations

import asyncio

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Final
from typing import Self

import aiohttp
import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.console.refusal import Body
from sassafraswharf.console.refusal import Refusal


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from types import TracebackType


RETRY_DELAY_S: Final = 0.2
"""Delay between attempts; an election takes at most 0.5 s."""

REQUEST_TIMEOUT_S: Final = 5.0
MAX_ANSWER_BYTES: Final = 67_108_864
"""Several times the largest configuration with its audit trail."""
CONNECT_TIMEOUT_S: Final = 1.0


class AdminClient:
    """Sends requests to control hosts until one answers as the leader.

    It follows answers with status 421 to the leader they name, and tries the
    other addresses if a control host can't be reached. ``patience_s`` bounds the
    time for one call.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        operator_key: str | None = None,
        patience_s: float = 5.0,
    ) -> None:
        """Keep the addresses (``host:port``) without connecting to them."""
        self.addresses = [_base_url(address) for address in addresses]
        self.operator_key = operator_key
        self.patience_s = patience_s

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.session.close()

    async def get(
        self,
        path: str,
        query: Mapping[str, str] | None = None,
    ) -> Result[Body, Refusal]:
        """Read from the leader."""
        return await self._call("GET", path, query, None, repeatable=True)

    async def get_from(self, address: str, path: str) -> Result[Body, Refusal]:
        """Read once from one control host."""
        return await self._send("GET", _base_url(address) + path, None, None)

    async def post(
        self,
        path: str,
        body: Mapping[str, object],
        query: Mapping[str, str] | None = None,
        *,
        repeatable: bool,
    ) -> Result[Body, Refusal]:
        """Send a change.

        A change that is not repeatable is not sent again once a control host
        may have received it; the refusal then has code 5002.
        """
        return await self._call("POST", path, query, body, repeatable=repeatable)

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        body: Mapping[str, object] | None,
        *,
        repeatable: bool,
    ) -> Result[Body, Refusal]:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self.patience_s
        target = self.addresses[0]
        attempt = 0
        while True:
            answer = await self._send(method, target + path, query, body)
            if isinstance(answer, Ok):
                return answer
            refusal = answer.err_value
            if not _is_retryable(refusal, repeatable=repeatable):
                return answer
            if loop.time() + RETRY_DELAY_S > give_up_at:
                return answer
            attempt += 1
            leader = refusal.body.get("leader")
            if isinstance(leader, str) and _base_url(leader) != target:
                target = _base_url(leader)
            else:
                target = self.addresses[attempt % len(self.addresses)]
                await asyncio.sleep(RETRY_DELAY_S)

    async def _send(
        self,
        method: str,
        url: str,
        query: Mapping[str, str] | None,
        body: Mapping[str, object] | None,
    ) -> Result[Body, Refusal]:
        headers = {}
        if self.operator_key is not None and method != "GET":
            headers["Authorization"] = f"Bearer {self.operator_key}"
        try:
            async with self.session.request(
                method, url, params=query, json=body, headers=headers
            ) as response:
                data = await _read_limited(response)
                if data is None:
                    reason = f"{url}: the answer has over {MAX_ANSWER_BYTES} bytes"
                    return _refusal(ResultCode.COMMAND_FAILED, reason)
                return _parse_response(url, response.status, data)
        except aiohttp.ClientConnectorError as error:
            reason = error.os_error.strerror or str(error)
            return _refusal(ResultCode.PEER_UNREACHABLE, f"{url}: {reason}")
        except aiohttp.InvalidURL:
            return _refusal(ResultCode.PEER_UNREACHABLE, f"{url}: not an address")
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            return _refusal(ResultCode.PROPOSAL_TIMEOUT, f"{url}: {reason}")


async def _read_limited(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body, ``None`` if it is longer than ``MAX_ANSWER_BYTES``."""
    data = bytearray()
    async for part in response.content.iter_any():
        data += part
        if len(data) > MAX_ANSWER_BYTES:
            return None
    return bytes(data)


def _is_retryable(refusal: Refusal, *, repeatable: bool) -> bool:
    if refusal.code == ResultCode.PROPOSAL_TIMEOUT:
        return repeatable
    return refusal.code in (
        ResultCode.PEER_UNREACHABLE,
        ResultCode.NOT_LEADER,
        ResultCode.CONFIGURATION_UNAVAILABLE,
    )


def _parse_response(url: str, status: int, data: bytes) -> Result[Body, Refusal]:
    try:
        body = msgspec.json.decode(data, type=dict[str, object])
    except (msgspec.MsgspecError, ValueError, RecursionError):
        reason = f"{url}: status {status} without a JSON object; is it an admin port?"
        return _refusal(ResultCode.COMMAND_FAILED, reason)
    if status == HTTPStatus.OK:
        return Ok(body)
    code = body.get("code")
    known = code if isinstance(code, int) else ResultCode.COMMAND_FAILED
    message = str(body.get("message", f"status {status}"))
    return Err(Refusal(known, message, body))


def _refusal(code: ResultCode, message: str) -> Err[Refusal]:
    return Err(Refusal(code, message, {}))


def _base_url(address: str) -> str:
    """Return the URL of an admin port without a trailing slash."""
    url = address if "://" in address else f"http://{address}"
    return url.rstrip("/")
