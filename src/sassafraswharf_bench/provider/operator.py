"""The operator and callers of the stand-in."""

from __future__ import annotations

import asyncio
import secrets
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp
import msgspec

from yarl import URL

from sassafraswharf_bench.provider.machines import CALLER_PORT
from sassafraswharf_bench.provider.machines import CONTROL_PORT
from sassafraswharf_bench.provider.machines import READY_PORT


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf_bench.provider.machines import Machine


CALL_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.1
FINAL_STATUSES = frozenset({200, 400, 409, 412, 413, 422})


class Reply(NamedTuple):
    """What a caller got; status 0 is a connection that ended without an answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


class Operator:
    """Sends changes to any control host until one gives a clear answer."""

    def __init__(self, controls: Sequence[Machine]) -> None:
        """Know the control hosts."""
        self.controls = controls
        self.turn = 0

    async def call(self, path: str, body: bytes | None, timeout_s: float) -> Reply:
        """Repeat a call at one control host after the other."""
        until = time.monotonic() + timeout_s
        status, content = 0, b""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until:
                control = self.controls[self.turn % len(self.controls)]
                self.turn += 1
                url = f"http://{control.ip}:{CONTROL_PORT}/sassafraswharf/{path}"
                method = "GET" if body is None else "POST"
                try:
                    async with session.request(method, url, data=body) as response:
                        status, content = response.status, await response.read()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    status = 0
                if status in FINAL_STATUSES:
                    break
                await asyncio.sleep(RETRY_PAUSE_S)
        return Reply("", status, {}, content)

    async def replace(self, document: dict[str, Any], timeout_s: float = 20.0) -> int:
        """Send a whole configuration and return the status of its answer."""
        body = msgspec.json.encode(document)
        return (await self.call("Config.Replace", body, timeout_s)).status

    async def read(self, timeout_s: float = 20.0) -> dict[str, Any]:
        """Return the newest configuration."""
        reply = await self.call("Config.Get", None, timeout_s)
        decoded: dict[str, Any] = msgspec.json.decode(reply.body)
        return decoded


class Caller:
    """Sends requests to the router of one machine."""

    def __init__(self, machine: Machine) -> None:
        """Call on the given machine."""
        self.machine = machine

    async def send(
        self,
        method: str,
        target: str,
        host: str,
        *,
        key: int | None = None,
        body: bytes = b"",
        deadline_ms: int = 2_000,
    ) -> Reply:
        """Send one request on a new connection."""
        request_id = secrets.token_hex(8)
        headers = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Shard-Key"] = str(key)
        url = URL(f"http://{self.machine.ip}:{CALLER_PORT}{target}", encoded=True)
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 0.5)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, headers=headers, data=body or None
                ) as response,
            ):
                content = await response.read()
                return Reply(
                    request_id, response.status, dict(response.headers), content
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Reply(request_id, 0, {}, b"")

    async def is_ready(self) -> bool:
        """Return whether the router says that it is ready."""
        url = f"http://{self.machine.ip}:{READY_PORT}/sassafraswharf/readyz"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
