"""A router on a low-bandwidth link receives a configuration that has grown."""

from __future__ import annotations

import asyncio
import contextlib

from typing import TYPE_CHECKING
from typing import Final

import msgspec
import pytest

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.control_node import ControlNode
from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.gateway.control_link import ControlLink
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.documents import decode_patch
from sassafraswharf.platform.documents import decode_replacement
from sassafraswharf.settings.node_schema import Listen
from sassafraswharf.settings.node_schema import Node
from sassafraswharf.settings.node_schema import Terms


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from sassafraswharf.routing.plan_document import PlanChange


PORT: Final = 17_810
LEADER: Final = "127.22.0.3"
PROXY: Final = "127.22.0.4"
IN_FORCE_S: Final = 2.0
"""Time within which a change takes effect everywhere (``configApply``)."""
LEASE_LEFT_S: Final = 3.0
"""Upstreams stop serving keys when the lease of 4.5 s expires, so it must be renewed
during long transfers too."""


class Leader(ControlNode):
    """A control host that leads a group of one."""

    def __init__(self, folder: Path) -> None:
        node = Node(
            "core",
            "a",
            "r",
            LEADER,
            True,
            str(folder),
            None,
            ((LEADER, PORT),),
            PORT,
            PORT + 5,
            Listen(None, None, (LEADER, PORT + 7)),
            0,
            0,
            Terms(),
        )
        super().__init__(node, DocumentReader(), BootClock(), DecisionLog("core", -1))
        self.group.is_current_leader = lambda: True  # type: ignore[method-assign]
        self.index = 0

    def accept(self, change: PlanChange) -> None:
        reply = self.state._decide(change)
        assert reply.code == 0, reply
        self.state_changed.notify()


class RateLimitedProxy:
    """Forwards bytes; those to the router are limited to ``bytes_per_s``."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self.accept, PROXY, PORT)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(LEADER, PORT)
        one = asyncio.create_task(self.copy(reader, far_writer, narrow=False))
        other = asyncio.create_task(self.copy(far_reader, writer, narrow=True))
        self.tasks |= {one, other}

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        narrow: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(4_096):
                if narrow:
                    self.free_at = max(self.free_at, loop.time())
                    self.free_at += len(data) / self.bytes_per_s
                    await asyncio.sleep(self.free_at - loop.time())
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def routes(count: int) -> list[dict[str, object]]:
    return [
        {
            "name": f"r-{number * 7_919:07x}",
            "host": f"host{number * 104_729:07x}.example",
            "pathPrefix": f"/{number * 1_299_709:08x}/{number * 15_485_863:09x}/",
            "routeType": "idempotent",
            "timeout": f"{1_000 + number}ms",
            "targetLatency": "600ms",
            "priority": 1,
            "service": "s",
            "attempts": 2,
        }
        for number in range(count)
    ]


def first_plan() -> PlanChange:
    document = {
        "version": "1",
        "routes": routes(1),
        "services": [{"name": "s", "healthPath": "/healthz"}],
    }
    return decode_replacement(msgspec.json.encode(document)).unwrap()


def plan_with_added_routes(count: int) -> PlanChange:
    document = {
        "version": "2",
        "baseVersion": "1",
        "upsert": {"routes": routes(count + 1)[1:]},
    }
    return decode_patch(msgspec.json.encode(document)).unwrap()


@pytest.mark.parametrize(
    ("added_routes", "bytes_per_s"),
    [
        pytest.param(1_640, 215_000, id="half of a link is free"),
        pytest.param(3_000, 431_000, id="a larger one on a free link"),
    ],
)
def test_a_grown_configuration_denies_no_proper_request_of_a_router_on_a_narrow_link(
    added_routes: int, bytes_per_s: int, tmp_path: Path
) -> None:
    """Guards against DENIED: a long reply that restarts whenever it times out.

    Such a router keeps the old configuration, rejects requests for new routes with
    404 and loses its lease.
    """

    async def main() -> None:
        async with router_behind_proxy(tmp_path, bytes_per_s) as (leader, router):
            leader.accept(plan_with_added_routes(added_routes))
            changed_at = router.clock.now()
            while router.view.plan.version != 2:
                now = router.clock.now()
                assert now - changed_at < IN_FORCE_S, router.outcomes
                assert router.lease_until - now > LEASE_LEFT_S
                await asyncio.sleep(0.02)
            assert router.view.routes is not None
            assert len(router.view.routes.names) == added_routes + 1

    asyncio.run(main())


@contextlib.asynccontextmanager
async def router_behind_proxy(
    folder: Path, bytes_per_s: float
) -> AsyncIterator[tuple[Leader, ControlLink]]:
    """Run a leader, and a router that received its first plan through the proxy."""
    leader = Leader(folder)
    leader.accept(first_plan())
    await leader.server.start(LEADER, PORT)
    link = RateLimitedProxy(bytes_per_s)
    proxy = await link.start()
    router = make_router(BootClock())
    router.start()
    try:
        await wait_for_version(router, 1)
        yield leader, router
    finally:
        await router.stop()
        proxy.close()
        for task in link.tasks:
            task.cancel()
        await leader.server.stop()


def make_router(clock: BootClock) -> ControlLink:
    log = DecisionLog("h", -1)
    view = FleetView(DocumentReader(), log)

    def report(hold_s: float, sequence: int) -> SyncRequest:
        return SyncRequest(
            "h",
            "ip",
            "a",
            1,
            sequence,
            view.plan.version,
            view.fleet.version,
            hold_s,
            plan_cursor=link.plan_receiver.cursor,
            fleet_cursor=link.fleet_receiver.cursor,
            part_bytes=link.part_bytes,
        )

    link = ControlLink((PROXY,), PORT, view, clock, log, report, lambda _: None)
    return link


async def wait_for_version(router: ControlLink, version: int) -> None:
    async with asyncio.timeout(5.0):
        while router.view.plan.version < version:
            await router.view.changed.wait(1.0)
