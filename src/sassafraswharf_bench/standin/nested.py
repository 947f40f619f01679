"""Calls that the stand-in makes to other services while it serves a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import quote

import aiohttp


if TYPE_CHECKING:
    from aiohttp import web


DEFAULT_DEADLINE_MS = 5_000


class NestedAnswer(NamedTuple):
    """Response to a nested call; status 0 stands for no response."""

    status: int
    code: int
    content: Any


class NestedCalls:
    """Calls a path through the router on the host of the stand-in.

    The query ``nested=n`` of a request asks for a chain of ``n`` calls. ``{key}``
    in the path stands for the key of the request.
    """

    def __init__(self, router: str, path: str) -> None:
        self.router = router.rstrip("/")
        self.path = path
        self.session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the router."""
        if self.session is not None:
            await self.session.close()

    async def call(
        self, request: web.Request, key: str, elapsed_s: float
    ) -> NestedAnswer | None:
        """Make the call that a request asks for; None if it asks for none."""
        levels = request.query.get("nested", "")
        if not levels.isdecimal() or int(levels) == 0:
            return None
        if self.session is None:
            self.session = aiohttp.ClientSession()
        path = self.path.replace("{key}", quote(key, safe=""))
        text = request.headers.get("Sassafraswharf-Deadline-Ms", "")
        deadline_ms = int(text) if text.isdecimal() else DEFAULT_DEADLINE_MS
        remaining_ms = max(1, deadline_ms - round(1000 * elapsed_s))
        fields = {
            "Sassafraswharf-Nested": request.headers.get(
                "Sassafraswharf-Request-Id", ""
            ),
            "Sassafraswharf-Deadline-Ms": str(remaining_ms),
        }
        try:
            async with self.session.get(
                f"{self.router}{path}?nested={int(levels) - 1}", headers=fields
            ) as response:
                code = int(response.headers.get("Sassafraswharf-Code", "-1"))
                return NestedAnswer(response.status, code, await response.json())
        except (aiohttp.ClientError, ValueError):
            return NestedAnswer(0, -1, None)
