"""End-to-end test of repeated settings reloads and configuration changes."""

from __future__ import annotations

import asyncio
import json
import signal
import time

from typing import TYPE_CHECKING

import aiohttp

from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import DIARY
from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.provider.fleet import Fleet
from sassafraswharf_bench.provider.fleet import document
from sassafraswharf_bench.provider.machines import CALLER_PORT


if TYPE_CHECKING:
    from pathlib import Path


LOAD_S = 8.0
PAUSE_S = 0.02
RELOAD_S = 0.4
TIMEOUT = aiohttp.ClientTimeout(total=5)


def reload_settings(fleet: Fleet, folder: Path) -> None:
    """Rotate the control seeds of every process and send SIGHUP to each one twice."""
    for machine in fleet.machines.controls + fleet.machines.routers:
        path = folder / f"{machine.name}.json"
        settings = json.loads(path.read_text())
        seeds = settings["control_seeds"]
        settings["control_seeds"] = [*seeds[1:], seeds[0]]
        changed = path.with_suffix(".new")
        changed.write_text(json.dumps(settings))
        changed.replace(path)
        for _ in range(2):
            fleet.machines.signal(machine.name, signal.SIGHUP)


async def keep_calling(
    ip: str, method: str, target: str, until: float
) -> tuple[list[tuple[int, bytes]], int]:
    """Return the replies to one caller, and how many connections it opened."""
    opened = 0

    async def count(*_: object) -> None:
        nonlocal opened
        opened += 1

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(count)
    connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
    replies: list[tuple[int, bytes]] = []
    async with aiohttp.ClientSession(
        connector=connector, trace_configs=[trace], timeout=TIMEOUT
    ) as session:
        while time.monotonic() < until:
            number = len(replies)
            headers = {"Host": HOST, "Request-Id": f"{ip}{target}{number}"}
            headers["Shard-Key"] = str(number * 997 % 65_536)
            data = b"b" if method == "POST" else None
            url = f"http://{ip}:{CALLER_PORT}{target}"
            try:
                async with session.request(
                    method, url, headers=headers, data=data
                ) as response:
                    replies.append((response.status, await response.read()))
            except (aiohttp.ClientError, TimeoutError):
                replies.append((0, b""))
            await asyncio.sleep(PAUSE_S)
    return replies, opened


def test_settings_and_configurations_in_series_cut_no_request(tmp_path: Path) -> None:
    """Guards against requests lost during SIGHUP and configuration changes (LOST)."""

    async def change_configurations(fleet: Fleet, until: float) -> list[int]:
        statuses = []
        version = 1
        while time.monotonic() < until:
            routes = {
                f"r-{version}-{number}": {
                    "pathPrefix": f"/r/{version}/{number}/",
                    "routeType": "idempotent",
                    "service": BOOKING,
                    "timeout": f"{number + 1}s",
                }
                for number in range(300 * (version % 3))
            }
            changed = document(version + 2, version, **routes)
            changed["limits"] = {
                "idleTimeout": ["1s", "15s"][version % 4 // 2],
                "headerTimeout": ["200ms", "3s"][version % 4 // 2],
            }
            statuses.append(await fleet.operator.replace(changed))
            version += 2
        return statuses

    async def scenario(fleet: Fleet) -> None:
        until = time.monotonic() + LOAD_S
        calls = [
            asyncio.create_task(keep_calling(machine.ip, method, target, until))
            for machine in fleet.machines.routers
            for method, target in (("GET", "/diary/x"), ("POST", "/book/x"))
        ]
        changes = asyncio.create_task(change_configurations(fleet, until))
        while time.monotonic() < until:
            reload_settings(fleet, tmp_path)
            await asyncio.sleep(RELOAD_S)
        results = await asyncio.gather(*calls)
        statuses = await changes
        assert set(statuses) == {200}
        assert len(statuses) > 3
        assert [opened for _, opened in results] == [1] * len(results)
        replies = [one for got, _ in results for one in got]
        assert {status for status, _ in replies} == {200}
        assert {body for _, body in replies} == {b"served ", b"served b"}
        ended = [
            name
            for name, process in fleet.machines.processes.items()
            if process.poll() is not None
        ]
        assert not ended

    async def main() -> None:
        fleet = Fleet(tmp_path, [DIARY, DIARY, BOOKING], 61)
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())
