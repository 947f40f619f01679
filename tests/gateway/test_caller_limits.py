"""A router accepts request heads up to the limits of the configuration in force."""

from __future__ import annotations

import asyncio
import random

import pytest

from aiohttp import web
from result import Ok

from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.hop_client import HopClient
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.plans import first_plan
from tests.gateway.routers import LOOPBACK
from tests.gateway.routers import SELF
from tests.gateway.routers import free_port
from tests.gateway.routers import make_router
from tests.gateway.routers import work


PLAN = first_plan(
    {"service": "diary"},
    limits={
        "maxHeaderBytes": 131_072,
        "maxBodyBytes": 1_048_576,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
)
FOLLOW_S = 0.3


@pytest.mark.parametrize(
    ("target_bytes", "fields"),
    [
        pytest.param(9_000, 0, id="line above 8,190 bytes"),
        pytest.param(120_000, 0, id="line above the least limit"),
        pytest.param(10, 129, id="more than 128 fields"),
        pytest.param(10, 12_000, id="fields above the least limit"),
    ],
)
def test_heads_that_the_configuration_allows_pass_both_routers(
    target_bytes: int, fields: int
) -> None:
    """Guards against DENIED: 400 for a head shorter than its ``maxHeaderBytes``.

    The same head is sent by a caller and, with the header that routers add, by
    another router.
    """
    target = "/" + "p" * target_bytes
    extra = (("X", "value"),) * fields
    seen: list[str] = []

    async def serve(request: web.BaseRequest) -> web.Response:
        seen.append(request.raw_path)
        return web.Response(text="whole")

    async def main() -> tuple[bytes, object]:
        server = HttpServer(
            serve, max_body_bytes=1_000, max_header_bytes=200_000, header_timeout_s=5.0
        )
        address = (LOOPBACK, await server.start(LOOPBACK, 0))
        router = make_router(address)
        assert router.local is not None
        beat = Heartbeat(SELF, "diary", address, 100, False, 0.0, 1)
        router.local.on_heartbeat(beat, router.clock.now())
        caller_address = (LOOPBACK, free_port())
        await router.start(caller_address)
        upstream = Upstream(SELF, "diary", "h", LOOPBACK, "a", 100, False)
        router.view.fleet.apply(1, FleetChange((upstream,), (), ()))
        router.view.apply_plan_changes([PLAN])
        await asyncio.sleep(FOLLOW_S)
        try:
            reader, writer = await asyncio.open_connection(*caller_address)
            lines = [f"GET {target} HTTP/1.1", "Host: a.example", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in extra]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            received = await reader.read()
            writer.close()
            hops = HopClient(
                router.node.first_peer_port,
                UpstreamChooser("a", random.Random(1)),
                router.clock,
            )
            one = work(router.clock.now())
            one = one._replace(target=target, headers=(*one.headers, *extra))
            outcome = await hops.run(one, upstream)
            hops.close()
        finally:
            router.node = router.node._replace(
                terms=router.node.terms._replace(grace_s=0.7)
            )
            await router.stop()
            await server.stop()
        return received, outcome

    received, outcome = asyncio.run(main())
    assert received.startswith(b"HTTP/1.1 200 ")
    assert isinstance(outcome, Ok)
    assert seen == [target, target]
