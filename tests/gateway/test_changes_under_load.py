"""Requests on persistent connections while configuration and fleet change."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import NamedTuple

import aiohttp
import msgspec
import pytest
import uvloop

from aiohttp import web

from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.platform.documents import decode_patch
from sassafraswharf.platform.documents import decode_replacement
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.plans import ROUTE
from tests.gateway.routers import LOOPBACK
from tests.gateway.routers import free_port
from tests.gateway.routers import make_router


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from sassafraswharf.gateway.router_node import RouterNode


NEAR, FAR = Instance("near", 1), Instance("far", 2)
FAR_ROUTER = "127.0.0.2"
LOAD_S = 0.8
CHANGE_S = 0.025
WORK_S = 0.01
PART_S = 0.01
TIMEOUT = aiohttp.ClientTimeout(total=3)
LONG_BYTES = 400_000
BIG_ROUTES = 2_000
SERVED = frozenset({200})
SERVED_OR_REFUSED = frozenset({200, 503})


class Outcome(NamedTuple):
    """Outcome of a request; status 0 means that the connection ended without answer.

    ``why`` is the text of an answer other than 200, or the error.
    """

    status: int
    is_whole: bool
    why: str = ""


class RouterPair:
    """Two routers on different hosts, each with a local upstream."""

    def __init__(self, near: RouterNode, far: RouterNode) -> None:
        self.routers = (near, far)
        self.near = near
        self.version = 0
        self.fleet_version = 0

    def replace(self, *routes: dict[str, object], **limits: object) -> None:
        """Put a whole configuration in force on both routers."""
        document: dict[str, object] = {
            "routes": [{**ROUTE, **route} for route in routes],
            "services": [{"name": "diary"}, {"name": "booking"}],
        }
        if limits:
            document["limits"] = limits
        self.put(document, is_whole=True)

    def patch(self, **fields: object) -> None:
        """Change some items on both routers."""
        self.put(fields, is_whole=False)

    def put(self, document: dict[str, object], *, is_whole: bool) -> None:
        before, self.version = self.version, self.version + 3
        versions = {"version": f"{self.version:08x}", "baseVersion": f"{before:08x}"}
        body = msgspec.json.encode({**document, **versions})
        change = (decode_replacement if is_whole else decode_patch)(body).unwrap()
        for router in self.routers:
            router.view.apply_plan_changes([change])
            assert router.view.plan.version == self.version

    def put_fleet(self, *upstreams: Upstream, removed: tuple[Instance, ...]) -> None:
        """Change the fleet on both routers."""
        self.fleet_version += 1
        change = FleetChange(upstreams, removed)
        for router in self.routers:
            router.view.apply_fleet_changes([(self.fleet_version, change)])


LOOKUP: dict[str, object] = {"service": "diary", "timeout": "10s"}
BOOK: dict[str, object] = {
    "name": "book",
    "pathPrefix": "/far/",
    "service": "booking",
    "timeout": "10s",
}
UPSTREAMS = (
    Upstream(NEAR, "diary", "h-1", LOOPBACK, "a", 100, False),
    Upstream(FAR, "booking", "h-2", FAR_ROUTER, "a", 100, False),
)


def change_limits(pair: RouterPair, turn: int) -> None:
    limits = {
        "maxHeaderBytes": [4_096, 131_072][turn % 2],
        "maxBodyBytes": [1_048_576, 67_108_864][turn % 2],
        "headerTimeout": ["100ms", "30s", "3s"][turn % 3],
        "idleTimeout": ["200ms", "120s", "15s"][turn % 3],
    }
    pair.replace(LOOKUP, BOOK, **(limits if turn % 4 else {}))


def change_timeouts(pair: RouterPair, turn: int) -> None:
    timeout = ["2s", "600s", "10s"][turn % 3]
    routes = [{**ROUTE, **one, "timeout": timeout} for one in (LOOKUP, BOOK)]
    pair.patch(upsert={"routes": routes})


def change_weights(pair: RouterPair, turn: int) -> None:
    weight = turn % 10
    parts = [
        {"service": "diary", "weight": weight},
        {"service": "booking", "weight": 10 - weight},
    ]
    split = {**ROUTE, **LOOKUP, "trafficSplit": parts if turn % 3 else parts[1:]}
    pair.patch(upsert={"routes": [split]})


def move_routes(pair: RouterPair, turn: int) -> None:
    services = ["diary", "booking"]
    near = {**LOOKUP, "service": services[turn % 2]}
    pair.replace(near, {**BOOK, "service": services[1 - turn % 2]})


def add_and_remove_routes(pair: RouterPair, turn: int) -> None:
    spare = {**ROUTE, **BOOK, "name": "spare", "pathPrefix": "/far/x/"}
    if turn % 2:
        pair.patch(remove={"routes": ["spare", "book"]})
    else:
        pair.patch(upsert={"routes": [spare, {**ROUTE, **BOOK}]})


def grow(pair: RouterPair, turn: int) -> None:
    count = BIG_ROUTES * (turn % 2)
    more = [
        {"name": f"r-{n}", "pathPrefix": f"/r/{n}/", "service": "diary"}
        for n in range(count)
    ]
    pair.replace(LOOKUP, BOOK, *more)


def reload_settings(pair: RouterPair, turn: int) -> None:
    for router in pair.routers:
        upstream = {**(router.node.upstream or {}), "service": f"s-{turn % 2}"}
        seeds = ((f"127.0.0.{turn % 5 + 3}", free_port()),)
        router.on_settings(router.node._replace(upstream=upstream, seeds=seeds))
    change_timeouts(pair, turn)


def replace_the_far_upstream(pair: RouterPair, turn: int) -> None:
    if turn % 2:
        pair.put_fleet(removed=(FAR,))
    else:
        pair.put_fleet(UPSTREAMS[1], removed=())


async def start_upstream() -> tuple[HttpServer, tuple[str, int]]:
    """Start a server that answers with as many bytes as requested, or received."""

    async def serve(request: web.BaseRequest) -> web.Response:
        body = await request.read()
        await asyncio.sleep(WORK_S)
        size = int(request.query.get("size", len(body)))
        return web.Response(body=b"b" * size, headers={"Response-Signature": "s"})

    server = HttpServer(
        serve, max_body_bytes=1_048_576, max_header_bytes=65_536, header_timeout_s=5.0
    )
    return server, (LOOPBACK, await server.start(LOOPBACK, 0))


async def in_parts(size: int) -> AsyncIterator[bytes]:
    """Yield a body in two halves with a pause between them."""
    yield b"b" * (size // 2)
    await asyncio.sleep(PART_S)
    yield b"b" * (size - size // 2)


class Kind(NamedTuple):
    """A kind of request and the bytes of its body or, for a GET, of its answer."""

    method: str
    size: int


KINDS = (
    Kind("GET", 10),
    Kind("GET", LONG_BYTES),
    Kind("POST", 1_000),
    Kind("POST", LONG_BYTES),
)


async def call(
    address: tuple[str, int], path: str, kind: Kind, until: float
) -> tuple[list[Outcome], int]:
    """Send requests until ``until``; return the outcomes and the connections opened."""
    opened = 0

    async def count(*_: object) -> None:
        nonlocal opened
        opened += 1

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(count)
    connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
    outcomes: list[Outcome] = []
    loop = asyncio.get_running_loop()
    base = f"http://{address[0]}:{address[1]}{path}"
    async with aiohttp.ClientSession(
        connector=connector, trace_configs=[trace], timeout=TIMEOUT
    ) as session:
        while loop.time() < until:
            is_get = kind.method == "GET"
            url = f"{base}?size={kind.size}" if is_get else base
            data = None if is_get else in_parts(kind.size)
            headers = {"Host": "a.example", "Request-Id": f"r-{len(outcomes)}"}
            try:
                async with session.request(
                    kind.method, url, headers=headers, data=data
                ) as response:
                    body = await response.read()
                served = response.status == 200
                whole = not served or body == b"b" * kind.size
                why = "" if served else body.decode(errors="replace")
                outcomes.append(Outcome(response.status, whole, why))
            except (aiohttp.ClientError, TimeoutError) as error:
                outcomes.append(Outcome(0, False, repr(error)))
            await asyncio.sleep(PART_S * (len(outcomes) % 3))
    return outcomes, opened


async def run_changes(
    change: Callable[[RouterPair, int], None],
) -> list[tuple[list[Outcome], int]]:
    """Apply a change repeatedly while callers send requests."""
    servers = [await start_upstream() for _ in range(2)]
    near, far = (make_router(address) for _, address in servers)
    far.node = far.node._replace(
        address=FAR_ROUTER, first_peer_port=near.node.first_peer_port
    )
    beats = zip((near, far), ((NEAR, "diary"), (FAR, "booking")), servers, strict=True)
    for router, (instance, service), (_, address) in beats:
        assert router.local is not None
        beat = Heartbeat(instance, service, address, 100, False, 0.0, 1)
        router.local.on_heartbeat(beat, router.clock.now())
    caller_address = (LOOPBACK, free_port())
    await near.start(caller_address)
    await far.start((FAR_ROUTER, free_port()))
    pair = RouterPair(near, far)
    pair.put_fleet(*UPSTREAMS, removed=())
    pair.replace(LOOKUP, BOOK)
    loop = asyncio.get_running_loop()
    until = loop.time() + LOAD_S
    calls = [
        asyncio.create_task(call(caller_address, path, kind, until))
        for path in ("/near/x/y", "/far/x/y")
        for kind in KINDS
    ]
    try:
        turn = 0
        while loop.time() < until:
            change(pair, turn)
            turn += 1
            await asyncio.sleep(CHANGE_S)
        return await asyncio.gather(*calls)
    finally:
        for router in pair.routers:
            terms = router.node.terms._replace(grace_s=0.7)
            router.node = router.node._replace(terms=terms)
        await asyncio.gather(*(router.stop() for router in pair.routers))
        for router, (server, _) in zip(pair.routers, servers, strict=True):
            if router.local is not None:
                router.local.pool.close()
            await server.stop()


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uv"]
)
@pytest.mark.parametrize(
    ("change", "statuses"),
    [
        pytest.param(change_limits, SERVED, id="limits"),
        pytest.param(change_timeouts, SERVED, id="timeouts"),
        pytest.param(change_weights, SERVED, id="weights"),
        pytest.param(move_routes, SERVED, id="moved routes"),
        pytest.param(add_and_remove_routes, SERVED, id="added and removed routes"),
        pytest.param(grow, SERVED, id="many routes"),
        pytest.param(reload_settings, SERVED, id="settings"),
        pytest.param(replace_the_far_upstream, SERVED_OR_REFUSED, id="fleet"),
    ],
)
def test_every_request_on_a_kept_connection_gets_its_whole_answer(
    change: Callable[[RouterPair, int], None],
    statuses: frozenset[int],
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against requests that are cut off by a change in progress (LOST).

    Each caller reuses one connection, which must stay open. Short and long bodies
    and answers, with and without a hop, are in transit at each change.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        results = runner.run(run_changes(change))
    assert [opened for _, opened in results] == [1] * len(results)
    outcomes = [one for got, _ in results for one in got]
    assert all(len(got) > 1 for got, _ in results)
    assert not [one for one in outcomes if one.status not in statuses]
    assert all(one.is_whole for one in outcomes)
