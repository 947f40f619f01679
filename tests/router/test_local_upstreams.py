from __future__ import annotations

import asyncio
import socket

from types import SimpleNamespace
from typing import Any

import pytest

from aiohttp import web

from sassafraswharf.cell.commands import UpstreamLost
from sassafraswharf.clock import BootClock
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.membership.values import Upstream
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.router.crash_detector import CrashDetector
from sassafraswharf.router.local_upstreams import LocalUpstreams
from sassafraswharf.router.upstream_runner import UpstreamRunner
from sassafraswharf.router.view import RouterView


LOOPBACK = "127.0.0.1"
NAME = UpstreamId("diary-1")


async def serve_upstream(status: int) -> web.AppRunner:
    """Start an upstream that answers every request with a status."""

    async def answer(_request: web.BaseRequest) -> web.Response:
        return web.Response(status=status)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, 0).start()
    return runner


def closed_port() -> int:
    with socket.create_server((LOOPBACK, 0)) as server:
        return int(server.getsockname()[1])


def upstream_at(port: int) -> Upstream:
    return Upstream(
        NAME,
        HostId("r1"),
        SessionId(4),
        ServiceName("diary"),
        f"{LOOPBACK}:{port}",
        10,
        130,
        True,
        1,
        1.0,
        UpstreamState.ADMITTED,
    )


async def commands_after_a_grant(status: int | None) -> list[Any]:
    """Return the commands committed after one grant.

    ``status`` is the response status, or ``None`` for a process that has exited.
    """
    committed: list[Any] = []

    async def commit(command: Any) -> bool:
        committed.append(command)
        return True

    served = None if status is None else await serve_upstream(status)
    port = closed_port() if served is None else int(served.addresses[0][1])
    clock = BootClock()
    view = RouterView()
    crash_detector = CrashDetector(view, clock, commit)
    runner = UpstreamRunner(
        upstream_at(port), 0, clock, SimpleNamespace(), crash_detector
    )  # type: ignore[arg-type]
    holder = SimpleNamespace(session=SessionId(4), expires_at=clock.now() + 1.0)
    service: Any = SimpleNamespace(
        runners={NAME: runner}, granted_versions={}, crash_detector=crash_detector
    )
    link: Any = SimpleNamespace(holder=holder)
    local = LocalUpstreams(view, link, service, clock)
    await local.send_grant(runner.upstream)
    await asyncio.sleep(0.1)
    await local.stop()
    await crash_detector.stop()
    if served is not None:
        await served.cleanup()
    return committed


@pytest.mark.parametrize(
    ("status", "is_lost"), [(None, True), (503, False), (200, False)]
)
def test_an_upstream_that_exits_before_its_grant_is_reported(
    status: int | None, is_lost: bool
) -> None:
    """Guards against keys that stay with an upstream that exited before its grant.

    No request is sent before the grant has arrived, so none detects it. Seen in
    test_an_upstream_lost_while_there_is_no_leader: for 30 s every lookup was
    refused with code 3111.
    """
    committed = asyncio.run(commands_after_a_grant(status))
    assert any(isinstance(one, UpstreamLost) for one in committed) == is_lost
