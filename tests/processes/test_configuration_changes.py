from __future__ import annotations

import asyncio
import json

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.local_deployment import LOOPBACK
from sassafraswharf_bench.local_deployment import OPERATOR_KEY
from tests.processes.fleet import KEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import document
from tests.processes.fleet import running_fleet
from tests.processes.test_control_hosts import SEPARATE_HOSTS


if TYPE_CHECKING:
    from pathlib import Path


CHANGES = 300


def change(change_id: str, base: int, author: str, weight: float) -> dict[str, Any]:
    return {
        "change_id": change_id,
        "base_revision": base,
        "author": author,
        "document": document(weight, (KEYED,), moves=False),
    }


async def submit(fleet: Fleet, body: dict[str, Any]) -> dict[str, Any]:
    answer: dict[str, Any] = await fleet.admin("configuration", body)
    return answer


async def submit_and_leave(fleet: Fleet, host: str, body: dict[str, Any]) -> None:
    """Send a change and close the connection without reading the answer."""
    content = json.dumps(body).encode()
    port = fleet.ports[host]["admin_port"]
    _, writer = await asyncio.open_connection(LOOPBACK, port)
    head = (
        "POST /v1/configuration HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {OPERATOR_KEY}\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    writer.write(head.encode() + content)
    await writer.drain()
    writer.close()


async def wait_for_revision(fleet: Fleet, host: str, revision: int) -> None:
    """Wait for a revision; fail if the host reports a newer one or goes back."""
    path = "status" if fleet.hosts[host].control else "router"
    seen = 0
    async with asyncio.timeout(WAIT_S):
        while seen != revision:
            _, answer = await fleet.ask_admin(host, path, None)
            found = seen if answer is None else answer["revision"]
            assert seen <= found <= revision
            seen = found
            await asyncio.sleep(0.02)


def test_one_of_two_operators_wins_and_a_resend_changes_nothing(
    tmp_path: Path,
) -> None:
    """Guards against lost updates, and a change applied twice after a resend."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            competing = [change(f"id-{n}", 1, f"op-{n}", n + 1) for n in range(8)]
            replies = await asyncio.gather(*(submit(fleet, body) for body in competing))
            winners = [n for n, reply in enumerate(replies) if reply["code"] == 0]
            assert len(winners) == 1
            won = {"change_id": f"id-{winners[0]}", "author": f"op-{winners[0]}"}
            for reply in replies:
                if reply["code"]:
                    assert (reply["code"], reply["winner"]) == (2001, won)
            again = await asyncio.gather(*(submit(fleet, body) for body in competing))
            assert again == replies
            other = {**competing[winners[0]], "base_revision": 2}
            assert (await submit(fleet, other))["code"] == 2002

            lost = change("lost-answer", 2, "op", 9)
            leader = await fleet.leader("configuration")
            await submit_and_leave(fleet, leader, lost)
            await fleet.kill(leader)
            resent = await submit(fleet, lost)
            assert (resent["code"], resent["revision"]) == (0, 3)
            assert await submit(fleet, lost) == resent
            assert (await fleet.admin("configuration"))["revision"] == 3

    asyncio.run(scenario())


def test_a_revision_survives_absence_and_restart(tmp_path: Path) -> None:
    """Guards against a host that does not catch up, and a revision that goes back."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            leader = await fleet.leader("configuration")
            absent = next(name for name in ("c1", "c2", "c3") if name != leader)
            await fleet.kill(absent, "r2")
            for base in range(1, CHANGES + 1):
                body = change(f"change-{base}", base, "op", base % 7 + 1)
                reply = await submit(fleet, body)
                assert (reply["code"], reply["revision"]) == (0, base + 1)
            newest = CHANGES + 1
            await fleet.start_hosts(absent, "r2")
            for host in fleet.hosts:
                await wait_for_revision(fleet, host, newest)
            before = await fleet.admin("configuration")
            await fleet.kill(*fleet.hosts)
            await fleet.start_hosts()
            for host in fleet.hosts:
                await wait_for_revision(fleet, host, newest)
            assert await fleet.admin("configuration") == before

    asyncio.run(scenario())
