from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from tests.processes.fleet import UNKEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from pathlib import Path


CALLERS, ROUNDS = 8, 30


def test_a_wrong_health_report_has_no_effect(tmp_path: Path) -> None:
    """Guards against load balancing by self-reported health.

    One upstream truncates every answer and reports that it is healthy, another one
    works and reports that it is sick. The first must get less than a tenth of the
    requests, and the second at least a quarter of a normal upstream's share.
    """

    async def scenario() -> None:
        async with running_fleet(tmp_path, services=(UNKEYED,)) as fleet:
            await fleet.wait_until(
                "upstreams",
                lambda found: (
                    [row["state"] for row in found["upstreams"]] == ["admitted"] * 3
                ),
                WAIT_S,
            )
            claims = {
                f"{UNKEYED}-a": {"fails": True, "health": "healthy"},
                f"{UNKEYED}-b": {"health": "sick"},
            }
            for name, claim in claims.items():
                url = f"http://{fleet.addresses[name]}/-/behaviour"
                async with fleet.client.post(url, json=claim) as response:
                    assert response.status == 200

            async def caller(number: int) -> list[tuple[int, int]]:
                found = []
                for count in range(ROUNDS):
                    path = f"/{UNKEYED}/key-{number}-{count}"
                    reply = await fleet.call("c", "GET", path)
                    found.append((reply.status, reply.code))
                return found

            callers = [caller(number) for number in range(CALLERS)]
            replies = [one for found in await asyncio.gather(*callers) for one in found]
            assert set(replies) == {(200, 0)}
            runs = {
                name: (await fleet.state_of(name))["counts"].get("run", 0)
                for name in fleet.stand_ins
            }
            assert runs[f"{UNKEYED}-a"] < len(replies) / 10, runs
            assert runs[f"{UNKEYED}-b"] > runs[f"{UNKEYED}-c"] / 4, runs

    asyncio.run(scenario())
