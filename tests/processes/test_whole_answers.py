from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from tests.processes.fleet import KEYED
from tests.processes.fleet import UNKEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import Reply
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from pathlib import Path


REQUESTS = 200


def test_answers_belong_to_their_requests(tmp_path: Path) -> None:
    """Guards against answers that are mixed up between concurrent requests."""

    async def scenario() -> None:
        flags = ("--distribution=exponential", "--service-ms=20", "--slots=50")
        async with running_fleet(tmp_path, flags=flags, moves=True) as fleet:

            async def ask(number: int) -> None:
                host = list(fleet.hosts)[number % 3]
                service = (KEYED, UNKEYED)[number % 2]
                path = f"/{service}/key-{number}?id=id-{number}"
                async with asyncio.timeout(WAIT_S):
                    reply = Reply(0)
                    while reply.outcome is not Outcome.ANSWERED:
                        # There are more requests than slots, so some are refused.
                        reply = await fleet.call(host, "GET", path)
                content = reply.content
                assert reply.status == 200
                assert (content["key"], content["id"]) == (
                    f"key-{number}",
                    f"id-{number}",
                )

            await asyncio.gather(*map(ask, range(REQUESTS)))

    asyncio.run(scenario())


async def request_truncated_answers(fleet: Fleet) -> list[Reply]:
    """Send requests whose answers the upstream truncates."""
    calls = [
        fleet.call(host, method, f"/{KEYED}/k?mark=cut", f"cut-{host}-{method}")
        for host in fleet.hosts
        for method in ("GET", "POST")
    ]
    return list(await asyncio.gather(*calls))


def test_no_cut_answer_is_passed_on(tmp_path: Path) -> None:
    """Guards against a truncated answer with status 200.

    The upstream truncates its answer, or its process is killed while it answers. A
    booking with a truncated answer may have run, so its resend must not run again.
    """

    async def scenario() -> None:
        flags = ("--service-ms=300", "--slots=40")
        async with running_fleet(tmp_path, flags=flags, services=(KEYED,)) as fleet:
            for reply in await request_truncated_answers(fleet):
                assert (reply.status, reply.code) == (502, 3202)
                assert not reply.not_run
            for reply in (await request_truncated_answers(fleet))[1::2]:
                assert reply.code == 3201
            owner = await fleet.owner("k")
            calls = [
                asyncio.create_task(
                    fleet.call(host, "POST", "/diary/k", f"killed-{host}-{number}")
                )
                for host in fleet.hosts
                for number in range(5)
            ]
            await fleet.wait_in_flight(owner["upstream"], len(calls))
            await fleet.kill(owner["upstream"])
            replies = await asyncio.gather(*calls)
            runs = fleet.runs()
            for reply in replies:
                assert reply.outcome is Outcome.UNKNOWN
                assert reply.status == 502
            assert max(runs.values()) == 1

    asyncio.run(scenario())
