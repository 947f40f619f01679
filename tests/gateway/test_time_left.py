"""Deadlines and the remaining time that upstreams receive."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

import aiohttp
import pytest

from aiohttp import web
from aiohttp.test_utils import TestServer

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.hop_codec import decode_hop
from sassafraswharf.gateway.hop_codec import encode_hop
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.local_upstreams import make_local
from tests.gateway.plans import first_plan
from tests.gateway.test_ingress import ScriptedHops
from tests.gateway.test_ingress import make_ingress


if TYPE_CHECKING:
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.local_upstream import Outcome


SELF = Instance("i-1", 7)
WORK_S = 0.2


def work(now: float, time_s: float) -> Work:
    terms = Terms(1, False, now + time_s / 2, now + time_s)
    headers = (("Host", "a.example"),)
    return Work("r", "GET", "/", headers, b"", None, "diary", "desk", None, True, terms)


@pytest.mark.parametrize("waiting", [0, 1, 2])
def test_an_upstream_is_told_the_time_that_is_left(waiting: int) -> None:
    """Guards against work for a caller that has timed out (BUDGET, time left).

    The time that a request waits in the admission queue counts.
    """
    told: list[int] = []

    async def serve(request: web.BaseRequest) -> web.Response:
        told.append(int(request.headers[HEADER_NAMES.deadline_ms]))
        await asyncio.sleep(WORK_S)
        return web.Response()

    async def main() -> None:
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", serve)
        async with TestServer(application, host="127.0.0.1") as server:
            clock = BootClock()
            address = ("127.0.0.1", server.port or 0)
            local = make_local(address, clock=clock)
            beat = Heartbeat(SELF, "diary", address, 1, False, 0.0, 1)
            local.on_heartbeat(beat, clock.now())
            requests = [
                asyncio.create_task(local.run(work(clock.now(), 3.0), SELF))
                for _ in range(waiting + 1)
            ]
            await asyncio.gather(*requests)
            local.pool.close()

    asyncio.run(main())
    assert len(told) == waiting + 1
    assert 0 < told[-1] <= 3_000 - waiting * WORK_S * 1_000


def test_a_hop_subtracts_its_time_from_the_deadline() -> None:
    """Guards against a deadline that restarts at the second router."""
    sent = work(100.0, 1.0)
    hop = decode_hop(encode_hop(sent, SELF, 100.4), 250.0)
    assert hop is not None
    assert hop.terms.deadline_at == pytest.approx(250.6, abs=0.002)


class SilentHops(ScriptedHops):
    """Replaces the hop client and never answers."""

    async def run(self, _work: Work, _upstream: Upstream) -> Outcome:
        await asyncio.sleep(60.0)
        raise AssertionError("the request was not cancelled")


async def serve_without_answers(timeout_ms: int) -> tuple[HttpServer, int]:
    """Start a router whose upstreams never answer; return its server and port."""
    plan = first_plan({"timeout": f"{timeout_ms}ms", "targetLatency": "100ms"})
    ingress = make_ingress(SilentHops([]))
    ingress.view.apply_plan_changes([plan])
    server = HttpServer(
        ingress.handle,
        max_body_bytes=1_000,
        max_header_bytes=8_000,
        header_timeout_s=5.0,
    )
    return server, await server.start("127.0.0.1", 0)


@pytest.mark.parametrize(
    ("timeout_ms", "deadline_ms", "ends_ms"), [(300, 5_000, 300), (5_000, 300, 300)]
)
def test_a_request_ends_at_the_earlier_of_deadline_and_timeout(
    timeout_ms: int, deadline_ms: int, ends_ms: int
) -> None:
    """Guards against requests that stay open after their route's timeout (CONFIG)."""

    async def main() -> tuple[int, float]:
        server, port = await serve_without_answers(timeout_ms)
        headers = {"Host": "a.example", HEADER_NAMES.deadline_ms: str(deadline_ms)}
        began = time.monotonic()
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/x", headers=headers) as response,
        ):
            status = response.status
        took_s = time.monotonic() - began
        await server.stop()
        return status, took_s

    status, took_s = asyncio.run(main())
    assert status == 504
    assert ends_ms / 1_000 <= took_s < ends_ms / 1_000 + 0.5


@pytest.mark.parametrize("count", [2, 3])
def test_the_time_of_a_request_sent_ahead_begins_when_it_arrives(count: int) -> None:
    """Guards against work for callers whose deadline runs from sending (BUDGET)."""

    async def main() -> tuple[bytes, float]:
        server, port = await serve_without_answers(5_000)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"GET /x HTTP/1.1\r\nHost: a.example\r\n{HEADER_NAMES.deadline_ms}: 300"
        began = time.monotonic()
        writer.write(f"{head}\r\n\r\n".encode() * count)
        received = b""
        async with asyncio.timeout(5):
            while received.count(b"HTTP/1.1 50") < count:
                received += await reader.read(65_536)
        took_s = time.monotonic() - began
        writer.close()
        await server.stop()
        return received, took_s

    received, took_s = asyncio.run(main())
    assert received.count(b"HTTP/1.1 504") == 1
    assert received.count(b"HTTP/1.1 503") == count - 1
    assert took_s < 0.3 + 0.25
