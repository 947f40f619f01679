"""Requests without a key that run on a host which becomes unresponsive."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import pytest
import uvloop

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.fleet_state import VersionedFleet
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway import http_connection
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.gateway.router_node import RouterNode
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.settings.node_schema import Listen
from sassafraswharf.settings.node_schema import Node
from sassafraswharf.settings.node_schema import Terms
from tests.gateway.plans import first_plan


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator


ENTRY_HOST: Final = "127.0.0.44"
SILENT_HOST: Final = "127.0.0.45"
OTHER_HOST: Final = "127.0.0.46"
UNUSED_ADDRESS: Final = "127.0.0.47"
UPSTREAM_HOSTS: Final = (SILENT_HOST, OTHER_HOST)
FIRST: Final = Instance("i-1", 7)
OTHER: Final = Instance("i-2", 8)
PEER_TIMEOUT_S: Final = 0.2
"""Replaces the TCP user timeout of 3 s."""
TABLE_UPDATE_S: Final = 0.05
"""Time for a router to apply a change of its table."""
SMALL_WINDOW_BYTES: Final = 4_096
ID: Final = "r-1"


@pytest.fixture(
    autouse=True, params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def _loops(request: pytest.FixtureRequest) -> Iterator[None]:
    """Run on asyncio and on uvloop, which reports closed sockets differently."""
    before = asyncio.get_event_loop_policy()
    asyncio.set_event_loop_policy(request.param())
    yield
    asyncio.set_event_loop_policy(before)


@pytest.fixture(autouse=True)
def _short_peer_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "PEER_TIMEOUT_MS", int(PEER_TIMEOUT_S * 1000))


class BlockingUpstream:
    """An upstream that runs each request until ``may_answer`` is set."""

    def __init__(self, *, reads: bool = True) -> None:
        self.reads = asyncio.Event()
        if reads:
            self.reads.set()
        self.began = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.runs = 0
        self.aborted_requests = 0
        self.body = b""
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ("", 0)
        self.server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        listening = socket.create_server((ip, 0))
        if not self.reads.is_set():
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        self.server = await asyncio.start_server(
            self.handle, sock=listening, limit=SMALL_WINDOW_BYTES
        )
        self.address = listening.getsockname()[:2]

    def stop_listening(self) -> None:
        assert self.server is not None
        self.server.close()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await self.answer(reader, writer)
        finally:
            writer.transport.abort()

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.runs += 1
        self.began.set()
        await self.reads.wait()
        try:
            self.body = await read_body(reader, head)
            await self.may_answer.wait()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.aborted_requests += 1
            raise
        writer.write(
            f"HTTP/1.1 200 OK\r\n{HEADER_NAMES.request_id}: {ID}\r\n"
            "Content-Length: 5\r\n\r\nwhole".encode()
        )


async def read_body(reader: asyncio.StreamReader, head: str) -> bytes:
    if "content-length: " in head:
        length = int(head.partition("content-length: ")[2].split()[0])
        return await reader.readexactly(length)
    body = b""
    if "transfer-encoding: chunked" in head:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    return body


def free_port() -> int:
    with socket.create_server((UNUSED_ADDRESS, 0)) as server:
        return int(server.getsockname()[1])


def make_router(
    ip: str, peer_port: int, upstream: tuple[str, int] | None
) -> RouterNode:
    """Return a router that never finds a leader, so that it has no lease."""
    beside = f"{upstream[0]}:{upstream[1]}" if upstream else ""
    node = Node(
        f"h-{ip}",
        "a",
        "here",
        ip,
        False,
        None,
        {"service": "s", "address": beside} if upstream else None,
        ((UNUSED_ADDRESS, peer_port),),
        peer_port,
        peer_port,
        Listen((ip, peer_port + 1), None, (ip, peer_port + 2)),
        0,
        0,
        Terms(retry_ratio=1.0, retry_slack=64),
    )
    log = DecisionLog(node.host, -1)
    return RouterNode(node, HEADER_NAMES, DocumentReader(), upstream, BootClock(), log)


def upstream_row(instance: Instance, ip: str, **fields: bool) -> Upstream:
    return Upstream(instance, "s", f"h-{ip}", ip, "a", 4, False)._replace(**fields)


class Cluster:
    """Routers of three hosts; the upstream of one of them runs a request."""

    def __init__(self, upstreams: list[BlockingUpstream]) -> None:
        self.upstream, self.other = upstreams
        self.version = 0
        port = free_port()
        self.routers = {ENTRY_HOST: make_router(ENTRY_HOST, port, None)}
        for ip, instance, one in zip(
            UPSTREAM_HOSTS, (FIRST, OTHER), upstreams, strict=True
        ):
            router = self.routers[ip] = make_router(ip, port, one.address)
            assert router.local is not None
            beat = Heartbeat(instance, "s", one.address, 4, False, 0.0, 1)
            router.local.on_heartbeat(beat, router.clock.now())

    async def start(self, route_type: str) -> None:
        for ip, router in self.routers.items():
            await router.start((ip, router.node.first_peer_port + 1))
            router.view.apply_plan_changes(
                [first_plan({"routeType": route_type, "timeout": "9s"})]
            )
        await self.set_upstreams(upstream_row(FIRST, SILENT_HOST))

    async def stop(self) -> None:
        for router in self.routers.values():
            for task in router.tasks:
                task.cancel()
            await router.link.stop()
            await router.caller_server.stop()
            await router.peer_server.stop()
            router.hop_client.close()

    async def set_upstreams(self, *upstreams: Upstream) -> None:
        """Apply a table with only these upstreams at every router."""
        self.version += 1
        change = FleetChange(upstreams, is_whole=True)
        for router in self.routers.values():
            router.view.apply_fleet_changes([VersionedFleet(self.version, change)])
        await asyncio.sleep(TABLE_UPDATE_S)

    async def send_request(
        self, side: str, body: bytes, deadline_ms: int
    ) -> tuple[int, bytes]:
        """Send a request to the router of a host; return the status and body."""
        port = self.routers[side].node.first_peer_port + 1
        reader, writer = await asyncio.open_connection(side, port)
        writer.write(
            f"POST /x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
            f"{HEADER_NAMES.request_id}: {ID}\r\n"
            f"{HEADER_NAMES.deadline_ms}: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        async with asyncio.timeout(12):
            answer = await reader.read()
        writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), content


@contextlib.asynccontextmanager
async def running(route_type: str, *, reads: bool = True) -> AsyncIterator[Cluster]:
    upstreams = [BlockingUpstream(reads=reads), BlockingUpstream()]
    for ip, one in zip(UPSTREAM_HOSTS, upstreams, strict=True):
        await one.start(ip)
    upstreams[1].may_answer.set()
    site = Cluster(upstreams)
    await site.start(route_type)
    try:
        yield site
    finally:
        # Stopping a server waits for its requests.
        for one in upstreams:
            one.stop_listening()
            for writer in one.writers:
                writer.transport.abort()
        await site.stop()


# Events that occur while the request runs.


async def leave_the_table(site: Cluster) -> None:
    """Remove the upstream, as after an expired lease or late heartbeats."""
    await site.set_upstreams(upstream_row(OTHER, OTHER_HOST))


async def leave_the_table_and_come_back(site: Cluster) -> None:
    await site.set_upstreams(upstream_row(OTHER, OTHER_HOST))
    await site.set_upstreams(
        upstream_row(OTHER, OTHER_HOST), upstream_row(FIRST, SILENT_HOST)
    )


async def empty_the_table(site: Cluster) -> None:
    await site.set_upstreams()


async def drain(site: Cluster) -> None:
    await site.set_upstreams(
        upstream_row(OTHER, OTHER_HOST), upstream_row(FIRST, SILENT_HOST, draining=True)
    )


async def stop_the_router(site: Cluster) -> None:
    restarting = upstream_row(FIRST, SILENT_HOST, restarting=True)
    await site.set_upstreams(upstream_row(OTHER, OTHER_HOST), restarting)


async def replace_in_the_table(site: Cluster) -> None:
    """Replace the upstream by a later incarnation."""
    later = FIRST._replace(started_ms=FIRST.started_ms + 2)
    await site.set_upstreams(
        upstream_row(OTHER, OTHER_HOST), upstream_row(later, SILENT_HOST)
    )


async def refuse_connections(site: Cluster) -> None:
    """Let the router find that nothing listens, so that it reports a crash."""
    site.upstream.stop_listening()
    local = site.routers[SILENT_HOST].local
    assert local is not None
    await local.probe_process()
    assert FIRST in local.ended_instances
    await site.set_upstreams(upstream_row(OTHER, OTHER_HOST))


async def stay_quiet(site: Cluster) -> None:
    await site.set_upstreams(
        upstream_row(OTHER, OTHER_HOST), upstream_row(FIRST, SILENT_HOST)
    )
    await asyncio.sleep(4 * PEER_TIMEOUT_S)


EVENTS: Final[list[Callable[[Cluster], Awaitable[None]]]] = [
    leave_the_table,
    leave_the_table_and_come_back,
    empty_the_table,
    drain,
    stop_the_router,
    replace_in_the_table,
    refuse_connections,
    stay_quiet,
]
ROUTE_TYPES: Final = ["non_idempotent", "idempotent"]
ENTRY_HOSTS: Final = [
    pytest.param(SILENT_HOST, id="the router of its host"),
    pytest.param(ENTRY_HOST, id="another router"),
]


class Outcome(NamedTuple):
    """The response to a caller, and how often each upstream ran its request."""

    status: int
    body: bytes
    runs: int
    other_runs: int


def run_scenario(
    side: str,
    route_type: str,
    event: Callable[[Cluster], Awaitable[None]],
    *,
    ends: bool,
    deadline_ms: int = 8_000,
) -> Outcome:
    """Start a request, trigger the event, and let the upstream respond if ``ends``."""

    async def main() -> Outcome:
        async with running(route_type) as site:
            asked = asyncio.create_task(site.send_request(side, b"", deadline_ms))
            await site.upstream.began.wait()
            await event(site)
            if ends:
                assert not asked.done()
                site.upstream.may_answer.set()
            status, body = await asked
            return Outcome(status, body, site.upstream.runs, site.other.runs)

    return asyncio.run(main())


@pytest.mark.parametrize("side", ENTRY_HOSTS)
@pytest.mark.parametrize("route_type", ROUTE_TYPES)
@pytest.mark.parametrize("event", EVENTS)
def test_a_running_request_continues_while_its_host_is_unresponsive(
    event: Callable[[Cluster], Awaitable[None]], route_type: str, side: str
) -> None:
    """Guards against a request that is abandoned or retried while it runs.

    Its upstream may have left the table because reports or heartbeats are late.
    """
    seen = run_scenario(side, route_type, event, ends=True)
    assert seen == Outcome(200, b"whole", 1, 0)


async def lose_connections(site: Cluster) -> None:
    await leave_the_table(site)
    for writer in site.upstream.writers:
        writer.transport.abort()


async def lose_router(site: Cluster) -> None:
    await leave_the_table(site)
    for protocol in site.routers[SILENT_HOST].peer_server.connections:
        assert protocol.transport is not None
        protocol.transport.abort()


@pytest.mark.parametrize(
    ("event", "side"),
    [
        (lose_connections, SILENT_HOST),
        (lose_connections, ENTRY_HOST),
        (lose_router, ENTRY_HOST),
    ],
)
@pytest.mark.parametrize("route_type", ROUTE_TYPES)
def test_a_lost_request_is_retried_only_if_its_route_allows_it(
    event: Callable[[Cluster], Awaitable[None]], side: str, route_type: str
) -> None:
    """Guards against a booking that runs twice, or ran but is reported as not run.

    Its host has left the table when the connection is lost.
    """
    seen = run_scenario(side, route_type, event, ends=False)
    if route_type == "idempotent":
        assert seen == Outcome(200, b"whole", 1, 1)
    else:
        assert seen[0] == 502
        assert seen[2:] == (1, 0)


@pytest.mark.parametrize("side", ENTRY_HOSTS)
@pytest.mark.parametrize("route_type", ROUTE_TYPES)
def test_a_request_without_response_until_its_deadline_is_not_reported_as_not_run(
    route_type: str, side: str
) -> None:
    """Guards against a refusal of a request that an unresponsive host may still run."""
    seen = run_scenario(side, route_type, leave_the_table, ends=False, deadline_ms=900)
    assert seen[0] == 504
    assert seen[2:] == (1, 0)


@pytest.mark.parametrize("side", ENTRY_HOSTS)
@pytest.mark.parametrize("size", [200_000, 600_000])
def test_a_request_that_may_run_once_waits_for_a_peer_that_reads_late(
    size: int, side: str
) -> None:
    """Guards against a booking that is abandoned because its upstream reads it late.

    The kernel closes a connection whose peer accepts no data for the TCP user
    timeout, even if the peer answers window probes.
    """

    async def main() -> None:
        async with running("non_idempotent", reads=False) as site:
            body = bytes(range(250)) * (size // 250)
            asked = asyncio.create_task(site.send_request(side, body, 8_000))
            await site.upstream.began.wait()
            await asyncio.sleep(6 * PEER_TIMEOUT_S)
            site.upstream.reads.set()
            site.upstream.may_answer.set()
            assert await asked == (200, b"whole")
            assert site.upstream.body == body
            assert (site.upstream.runs, site.upstream.aborted_requests) == (1, 0)

    asyncio.run(main())
