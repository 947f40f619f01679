"""Stub control hosts with canned responses for command line tests."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class StubControl:
    """Answers each path with the next of its canned answers, and the last again."""

    def __init__(self, answers: dict[str, list[tuple[int, Any]]]) -> None:
        self.answers = answers
        self.requests: list[tuple[str, Any, str | None]] = []
        self.address = ""

    async def handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.can_read_body else None
        key = request.headers.get("Authorization")
        self.requests.append((f"{request.method} {request.path_qs}", body, key))
        canned = self.answers[f"{request.method} {request.path}"]
        status, answer = canned.pop(0) if len(canned) > 1 else canned[0]
        if status == 0:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response(answer, status=status or 200)


@asynccontextmanager
async def running(
    answers: dict[str, list[tuple[int, Any]]],
) -> AsyncIterator[StubControl]:
    stub = StubControl(answers)
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", stub.handle)
    async with TestServer(app) as server:
        stub.address = f"127.0.0.1:{server.port}"
        yield stub
