from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import pytest

from aiohttp import web
from aiohttp.test_utils import TestServer

from sassafraswharf.clock import BootClock
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.membership.values import Upstream
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.router.crash_detector import CrashDetector
from sassafraswharf.router.incoming import RequestIds
from sassafraswharf.router.process_probe import has_exited
from sassafraswharf.router.upstream_runner import WARM_CONNECTIONS
from sassafraswharf.router.upstream_runner import UpstreamRunner
from sassafraswharf.router.view import RouterView


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Scenario = Callable[["CountingServer", UpstreamRunner], Awaitable[None]]


class CountingServer:
    """An upstream that counts connections and delays ``/slow`` until ``go`` is set."""

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.waiting = 0
        self.arrived = asyncio.Condition()
        self.connections: set[Any] = set()

    async def are_waiting(self, count: int) -> None:
        async with self.arrived:
            await self.arrived.wait_for(lambda: self.waiting >= count)

    async def handle(self, request: web.Request) -> web.Response:
        self.connections.add(request.transport)
        if request.path == "/slow":
            async with self.arrived:
                self.waiting += 1
                self.arrived.notify_all()
            await self.go.wait()
        return web.Response()


async def commit(_command: object) -> bool:
    return True


def with_runner(scenario: Scenario, slots: int, connections: int) -> None:
    async def run() -> None:
        counted = CountingServer()
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", counted.handle)
        async with TestServer(application, host="127.0.0.1") as server:
            upstream = Upstream(
                UpstreamId("u"),
                HostId("a"),
                SessionId(1),
                ServiceName("diary"),
                f"127.0.0.1:{server.port}",
                slots,
                connections,
                True,
                1,
                1.0,
                UpstreamState.ADMITTED,
            )
            clock = BootClock()
            crash_detector = CrashDetector(RouterView(), clock, commit)
            ids = RequestIds("a", b"0123456789abcdef")
            runner = UpstreamRunner(upstream, 0, clock, ids, crash_detector)
            await scenario(counted, runner)
            counted.go.set()
            await runner.close()

    asyncio.run(run())


@pytest.mark.parametrize("connections", [3, 4, 10])
def test_requests_leave_connections_for_grants_and_probes(connections: int) -> None:
    """Guards against grants that wait for requests, and against too many connections.

    A probe that waits for a connection would make a busy upstream look unresponsive.
    """

    async def scenario(server: CountingServer, runner: UpstreamRunner) -> None:
        requests = [
            asyncio.create_task(runner.peer.send("GET", "/slow", {}, b"", 60.0, 1))
            for _ in range(runner.admission.slots)
        ]
        async with asyncio.timeout(60.0):
            await server.are_waiting(len(requests))
        probe = await runner.peer.send("GET", "/-/health", {}, b"", 60.0, 1)
        assert probe.status == 200
        assert not any(request.done() for request in requests)
        assert not await has_exited(runner.upstream.address)
        assert len(server.connections) == connections
        server.go.set()
        await asyncio.gather(*requests)

    with_runner(scenario, 10, connections)


def test_idle_connections_are_kept_open() -> None:
    """Guards against a new connection for the first request after an idle period."""

    async def scenario(server: CountingServer, runner: UpstreamRunner) -> None:
        await runner.keep_warm()
        warm = set(server.connections)
        assert len(warm) == WARM_CONNECTIONS
        server.go.set()
        sends = [
            runner.peer.send("GET", "/slow", {}, b"", 60.0, 1)
            for _ in range(WARM_CONNECTIONS)
        ]
        await asyncio.gather(*sends)
        assert server.connections == warm

    with_runner(scenario, 10, 130)
