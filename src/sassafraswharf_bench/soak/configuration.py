"""Changes and reads the configuration during a soak run, with concurrent writes."""

from __future__ import annotations

import asyncio
import copy
import random
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import aiohttp
import msgspec

from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.provider.fleet import document
from sassafraswharf_bench.provider.machines import CONTROL_PORT
from sassafraswharf_bench.soak.ledger import Change
from sassafraswharf_bench.soak.ledger import ConfigurationRead


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.provider.operator import Operator
    from sassafraswharf_bench.soak.ledger import Ledger


ANSWER_TIMEOUT_S: Final = 20.0
READ_TIMEOUT_S: Final = 1.5
READ_PAUSE_S: Final = 0.5
MAX_ATTEMPTS: Final = 3
TIMEOUTS: Final = ("5s", "6s", "8s")
"""Longer than any caller waits, so that callers end requests by their deadline."""
IDLE_TIMEOUTS: Final = ("2s", "5s", "15s", "30s")
EXTRA_PREFIX: Final = "extra-"


def first_document() -> dict[str, Any]:
    """Return the configuration with which a run begins."""
    found = document(1, 0)
    for route in found["routes"]:
        route["timeout"] = TIMEOUTS[0]
    return found


def extra_route(number: int) -> dict[str, Any]:
    """Return a route that a change adds."""
    return {
        "name": f"{EXTRA_PREFIX}{number}",
        "host": HOST,
        "pathPrefix": f"/{EXTRA_PREFIX}{number}/",
        "routeType": "idempotent",
        "timeout": TIMEOUTS[0],
        "targetLatency": "1s",
        "priority": 1,
        "attempts": 2,
        "service": BOOKING,
    }


class ConfigurationChanger:
    """Sends changes based on the newest configuration that it knows."""

    def __init__(self, seed: int, operator: Operator, ledger: Ledger) -> None:
        """Begin with the first configuration."""
        self.rng = random.Random(f"{seed}-operator")
        self.operator = operator
        self.ledger = ledger
        self.version = 1
        self.current = first_document()
        self.extra_route_count = 0

    def draw(self, kind: str) -> dict[str, Any]:
        """Return the current configuration with one change, as the next version."""
        changed = copy.deepcopy(self.current)
        self.version += self.rng.randint(1, 3)
        changed["baseVersion"] = self.current["version"]
        changed["version"] = f"{self.version:08x}"
        extras = [
            one for one in changed["routes"] if one["name"].startswith(EXTRA_PREFIX)
        ]
        if kind == "remove_route" and extras:
            changed["routes"].remove(self.rng.choice(extras))
        elif kind == "change_timeout":
            for route in changed["routes"]:
                route["timeout"] = self.rng.choice(TIMEOUTS)
        elif kind == "change_idle":
            changed["limits"] = {"idleTimeout": self.rng.choice(IDLE_TIMEOUTS)}
        else:
            self.extra_route_count += 1
            changed["routes"].append(extra_route(self.extra_route_count))
        return changed

    async def change(self, kind: str) -> None:
        """Make a change; retry it on the current version after a conflict."""
        if kind == "race":
            await asyncio.gather(*(self.send(self.draw(kind)) for _ in range(2)))
            return
        for _ in range(MAX_ATTEMPTS):
            if await self.send(self.draw(kind)) != 412:
                return
            await self.refresh()

    async def send(self, wanted: dict[str, Any]) -> int:
        """Send a change until its answer is clear and record it."""
        sent_at = time.monotonic()
        status = await self.operator.replace(wanted, ANSWER_TIMEOUT_S)
        version, base = (int(wanted[name], 16) for name in ("version", "baseVersion"))
        self.ledger.changes.append(
            Change(version, base, status, sent_at, time.monotonic(), wanted)
        )
        if status == 200:
            self.adopt(wanted)
        return status

    def adopt(self, found: dict[str, Any]) -> None:
        """Build further changes on a configuration, unless a newer one is known."""
        if int(found["version"], 16) > int(self.current["version"], 16):
            self.current = found

    async def refresh(self) -> None:
        """Adopt the version in force as the base of further changes."""
        self.adopt(await self.operator.read())

    async def read_continuously(
        self, controls: Sequence[Machine], stopping: asyncio.Event
    ) -> None:
        """Read the configuration at one control host after the other."""
        turn = 0
        while not stopping.is_set():
            read = await read_once(controls[turn % len(controls)])
            if read is not None:
                self.ledger.reads.append(read)
            turn += 1
            await asyncio.sleep(READ_PAUSE_S)


async def read_once(control: Machine) -> ConfigurationRead | None:
    """Return what a control host takes for the newest configuration."""
    sent_at = time.monotonic()
    url = f"http://{control.ip}:{CONTROL_PORT}/sassafraswharf/Config.Get"
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            content = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
    if response.status != 200:
        return None
    found = msgspec.json.decode(content)
    return ConfigurationRead(control.name, sent_at, int(found["version"], 16), found)
