"""Routers for tests, each with a local upstream of one service."""

from __future__ import annotations

import asyncio
import socket

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import NamedTuple

from aiohttp import web
from aiohttp.test_utils import TestServer

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.router_node import RouterNode
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.settings.node_schema import Listen
from sassafraswharf.settings.node_schema import Node
from sassafraswharf.settings.node_schema import Terms as NodeTerms
from tests.gateway.plans import first_plan


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


SELF = Instance("i-1", 7)
LOOPBACK = "127.0.0.1"
GRACE_S = 4.0
DIARY = Upstream(SELF, "diary", "side-1", LOOPBACK, "a", 100, False)


def free_port() -> int:
    with socket.create_server((LOOPBACK, 0)) as server:
        return int(server.getsockname()[1])


def make_router(upstream: tuple[str, int]) -> RouterNode:
    listen = Listen((LOOPBACK, free_port()), None, (LOOPBACK, free_port()))
    node = Node(
        "side-1",
        "dub-a",
        "here",
        LOOPBACK,
        False,
        None,
        {"service": "diary", "address": f"{upstream[0]}:{upstream[1]}"},
        ((LOOPBACK, free_port()),),
        free_port(),
        free_port(),
        listen,
        0,
        0,
        NodeTerms(grace_s=GRACE_S),
    )
    log = DecisionLog("side-1", -1)
    return RouterNode(node, HEADER_NAMES, DocumentReader(), upstream, BootClock(), log)


def register_upstream(
    router: RouterNode, address: tuple[str, int], route_limit: str = "1500ms"
) -> None:
    """Give a router its upstream, and a route to it with timeout ``route_limit``."""
    assert router.local is not None
    beat = Heartbeat(SELF, "diary", address, 100, False, 0.0, 1)
    router.local.on_heartbeat(beat, router.clock.now())
    route = {"service": "diary", "timeout": route_limit, "targetLatency": route_limit}
    router.view.apply_plan_changes([first_plan(route)])
    router.view.apply_fleet_changes([(1, FleetChange((DIARY,), (), ()))])


def work(now: float) -> Work:
    terms = Terms(1, False, now + 1.0, now + 3.0)
    headers = (("Host", "a.example"),)
    return Work("r", "GET", "/", headers, b"", None, "diary", "desk", None, True, terms)


class RunningRouter(NamedTuple):
    """A router with its upstream, and the IDs of the requests that the upstream ran."""

    router: RouterNode
    callers: tuple[str, int]
    ran: list[str]


@asynccontextmanager
async def running(
    work_s: float, route_limit: str = "1500ms"
) -> AsyncIterator[RunningRouter]:
    """Start a router whose upstream takes ``work_s`` a request; the test stops it."""
    ran: list[str] = []

    async def serve(request: web.Request) -> web.Response:
        ran.append(request.headers.get(HEADER_NAMES.request_id, ""))
        await asyncio.sleep(work_s)
        return web.Response(body=b"whole")

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", serve)
    async with TestServer(application, host=LOOPBACK) as server:
        address = (LOOPBACK, server.port or 0)
        router = make_router(address)
        register_upstream(router, address, route_limit)
        callers = (LOOPBACK, free_port())
        await router.start(callers)
        yield RunningRouter(router, callers, ran)
