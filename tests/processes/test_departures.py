from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.processes.fleet import HOSTS
from tests.processes.fleet import KEYED
from tests.processes.fleet import UNKEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Reply
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from pathlib import Path


CALLERS = 12
FLAGS = ("--service-ms=100",)
PATHS = {KEYED: "", UNKEYED: "/deposits"}


async def keep_calling(
    fleet: Fleet, number: int, service: str, stop: asyncio.Event
) -> list[Reply]:
    """Alternate at-most-once requests and lookups until ``stop`` is set."""
    replies: list[Reply] = []
    while not stop.is_set():
        count = len(replies)
        key = f"/{service}/key-{number}-{count % 7}"
        host = HOSTS[count % len(HOSTS)].name
        if count % 2:
            replies.append(await fleet.call(host, "GET", key))
            continue
        path = f"{key}{PATHS[service]}"
        replies.append(await fleet.call(host, "POST", path, f"id-{number}-{count}"))
    return replies


def upstream_state(found: Any, upstream: str) -> str:
    states = {row["upstream"]: row["state"] for row in found["upstreams"]}
    return str(states[upstream])


@pytest.mark.parametrize("service", PATHS)
def test_an_announced_departure_loses_no_request(service: str, tmp_path: Path) -> None:
    """Guards against requests lost, aborted or repeated by a planned stop.

    The upstream returns with a new incarnation and has to be admitted again.
    """

    async def scenario() -> None:
        async with running_fleet(tmp_path, flags=FLAGS, services=(service,)) as fleet:
            stop = asyncio.Event()
            calls = [
                asyncio.create_task(keep_calling(fleet, number, service, stop))
                for number in range(CALLERS)
            ]
            # An upstream that announced itself late may own no slots.
            owners = await fleet.wait_until_settled()
            leaving = owners["services"][0]["runs"][0]["upstream"]
            await fleet.wait_in_flight(leaving, 1)
            assert await fleet.stop(leaving) == 0
            state = upstream_state(await fleet.admin("upstreams"), leaving)
            await asyncio.sleep(0.5)
            stop.set()
            replies = [reply for call in calls for reply in await call]
            assert {(r.status, r.code) for r in replies} == {(200, 0)}
            assert len(replies) > CALLERS
            assert set(fleet.runs().values()) == {1}
            assert state == "gone"
            await fleet.restart(fleet.stand_ins[leaving].host)
            await fleet.wait_until(
                "upstreams", lambda f: upstream_state(f, leaving) == "admitted", WAIT_S
            )

    asyncio.run(scenario())


def test_a_process_that_restarts_during_its_drain_is_admitted(tmp_path: Path) -> None:
    """Guards against a new process that inherits its predecessor's drain state."""

    async def scenario() -> None:
        flags = ("--service-ms=3000", "--slots=4")
        async with running_fleet(tmp_path, flags=flags, services=(KEYED,)) as fleet:
            key, owner = await fleet.owned_key()
            name, host = owner["upstream"], owner["host"]
            call = asyncio.create_task(fleet.call(host, "GET", f"/{KEYED}/{key}"))
            await fleet.wait_in_flight(name, 1)
            await fleet.admin(f"upstreams/{name}/drain", {"actor": "op"})
            old = fleet.processes[name]
            await fleet.start_stand_in(fleet.stand_ins[name])
            await asyncio.sleep(0.5)
            old.kill()
            await old.wait()
            await fleet.wait_until(
                "upstreams", lambda f: upstream_state(f, name) == "admitted", WAIT_S
            )
            assert (await call).code == 0

    asyncio.run(scenario())
