"""Periodic announcement of the stand-in to the router on the same host."""

from __future__ import annotations

import asyncio
import contextlib

from typing import TYPE_CHECKING
from typing import Any

import aiohttp


if TYPE_CHECKING:
    from collections.abc import Callable


ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 1.0
DEPARTURE_INTERVAL_S = 0.1
DEPARTURE_TIMEOUT_S = 10.0


class Announcer:
    """Posts the announcement every 2 s until it is cancelled.

    ``describe`` returns the announcement, or None while nothing is announced.
    """

    def __init__(
        self, router: str, describe: Callable[[], dict[str, Any] | None]
    ) -> None:
        self.url = f"{router.rstrip('/')}/-/announce"
        self.describe = describe
        self.sent = 0
        self.failed = 0

    async def run(self) -> None:
        """Announce until cancelled; failed attempts are counted and retried."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self.announce_once(session)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce_departure(self) -> None:
        """Announce the departure until the upstream owns nothing, for at most 10 s."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(DEPARTURE_TIMEOUT_S),
                aiohttp.ClientSession(timeout=timeout) as session,
            ):
                while True:
                    answer = await self.announce_once(session)
                    if answer.get("left", False):
                        return
                    await asyncio.sleep(DEPARTURE_INTERVAL_S)

    async def announce_once(self, session: aiohttp.ClientSession) -> dict[str, Any]:
        """Post the announcement once; return the response body, empty on failure."""
        announcement = self.describe()
        if announcement is None:
            return {}
        try:
            async with session.post(self.url, json=announcement) as response:
                if response.status < 300:
                    answer: dict[str, Any] = await response.json()
                    self.sent += 1
                    return answer
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        self.failed += 1
        return {}
