"""A small fleet of real processes on loopback with endpoints in this process."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.provider.endpoint import Endpoint
from sassafraswharf_bench.provider.machines import CONTROL_PORT
from sassafraswharf_bench.provider.machines import ENDPOINT_PORT
from sassafraswharf_bench.provider.machines import Machines
from sassafraswharf_bench.provider.operator import Caller
from sassafraswharf_bench.provider.operator import Operator


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    from sassafraswharf_bench.provider.machines import Machine


DIARY = "diary"
BOOKING = "booking"
HOST = "a.example"
WAIT_S = 40.0


def document(version: int, base: int, **extra: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with a keyed and an unkeyed service."""
    routes = {
        "lookup": {
            "pathPrefix": "/diary/",
            "routeType": "idempotent",
            "service": DIARY,
        },
        "book": {
            "pathPrefix": "/book/",
            "routeType": "non_idempotent",
            "service": BOOKING,
        },
        **extra,
    }
    return {
        "version": f"{version:08x}",
        "baseVersion": f"{base:08x}",
        "routes": [
            {
                "name": name,
                "host": HOST,
                "timeout": "200s",
                "targetLatency": "1s",
                "priority": 1,
                "attempts": 2,
                **fields,
            }
            for name, fields in routes.items()
        ],
        "services": [
            {"name": DIARY, "healthPath": "/healthz", "sharded": True},
            {"name": BOOKING, "healthPath": "/healthz"},
        ],
    }


class Fleet:
    """Machines, endpoints and an operator."""

    def __init__(
        self,
        folder: Path,
        services: list[str],
        net: int,
        grants: str = "heartbeat",
        first: dict[str, Any] | None = None,
    ) -> None:
        """Prepare a machine for each entry of ``services`` and control hosts."""
        self.first = first or document(1, 0)
        self.machines = Machines(folder, services, net=net, grants=grants)
        self.operator = Operator(self.machines.controls)
        self.endpoints: dict[str, Endpoint] = {}
        self.ended: list[Endpoint] = []

    async def start(self) -> None:
        """Start everything and wait until requests are served."""
        self.machines.start_all()
        for machine in self.machines.routers:
            await self.start_endpoint(machine.name)
        status = await self.operator.replace(self.first, WAIT_S)
        assert status == 200
        await self.wait_until(self.is_served, "the fleet never served")

    def make_endpoint(self, machine: Machine) -> Endpoint:
        """Return a new instance of the endpoint of a machine."""
        return Endpoint(
            machine.service,
            (machine.ip, ENDPOINT_PORT),
            (machine.ip, CONTROL_PORT),
            keyed=machine.service == DIARY,
            called=self.machines.grants == "call",
        )

    async def start_endpoint(self, name: str) -> Endpoint:
        """Start a new instance of the endpoint of a machine."""
        endpoint = self.make_endpoint(self.machines.machine(name))
        await endpoint.start()
        self.endpoints[name] = endpoint
        return endpoint

    async def end_endpoint(self, name: str) -> None:
        """End the endpoint of a machine at once."""
        endpoint = self.endpoints.pop(name)
        self.ended.append(endpoint)
        await endpoint.stop()

    async def stop(self) -> None:
        """End everything that was started."""
        for name in list(self.endpoints):
            await self.end_endpoint(name)
        self.machines.stop_all()

    def caller(self, name: str) -> Caller:
        """Return a caller of the router of a machine."""
        return Caller(self.machines.machine(name))

    async def is_served(self) -> bool:
        """Return whether keys all over the range and bookings are served."""
        caller = self.caller(self.machines.routers[0].name)
        if not await caller.is_ready():
            return False
        keys = range(0, 65_536, 8_192)
        replies = [await caller.send("GET", "/diary/x", HOST, key=key) for key in keys]
        replies.append(await caller.send("POST", "/book/x", HOST, body=b"b"))
        return all(reply.status == 200 for reply in replies)

    async def wait_until(
        self, check: Callable[[], Awaitable[bool]], message: str
    ) -> None:
        """Wait until a check holds; fail with a message after some time."""
        until = time.monotonic() + WAIT_S
        while not await check():
            assert time.monotonic() < until, message
            await asyncio.sleep(0.1)

    def runs(self) -> dict[str, int]:
        """Return how often each request id was run, over all endpoints."""
        counts: dict[str, int] = {}
        for endpoint in [*self.endpoints.values(), *self.ended]:
            for run in endpoint.runs:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts
