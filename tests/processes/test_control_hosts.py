from __future__ import annotations

import asyncio
import resource
import shutil
import signal

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf.declare import service
from sassafraswharf_bench.local_deployment import HostSpec
from tests.processes.fleet import KEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import Reply
from tests.processes.fleet import document
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path


CONTROL_HOSTS = (
    HostSpec("c1", "z1", router=False),
    HostSpec("c2", "z2", router=False),
    HostSpec("c3", "z3", router=False),
)
SEPARATE_HOSTS = (
    *CONTROL_HOSTS,
    HostSpec("r1", "z1", control=False),
    HostSpec("r2", "z2", control=False),
)
COMBINED_HOSTS = (
    HostSpec("a", "z1"),
    HostSpec("b", "z2"),
    HostSpec("c", "z3"),
    HostSpec("d", "z1", control=False),
    HostSpec("e", "z2", control=False),
)
GROUPS = ("configuration", "cell-1")
REPORT_RETRY_S = 5.0
"""How long a router retries a command that gets no answer."""


async def owners_of(fleet: Fleet) -> Any:
    """Return the slots with their owners and epochs, without the version."""
    return (await fleet.admin("owners"))["services"]


async def keep_calling(fleet: Fleet, done: asyncio.Event) -> list[Reply]:
    """Send lookups and bookings through both routers until ``done`` is set."""
    replies = []
    number = 0
    while not done.is_set():
        number += 1
        path = f"/diary/key-{number}"
        host = ("r1", "r2")[number % 2]
        replies.append(await fleet.call(host, "GET", path))
        replies.append(await fleet.call(host, "POST", path, f"during-{number}"))
    return replies


async def replies_during(
    fleet: Fleet, fault: Callable[[], Awaitable[object]]
) -> list[Reply]:
    """Return the replies that callers got while a fault was injected."""
    done = asyncio.Event()
    caller = asyncio.create_task(keep_calling(fleet, done))
    await fault()
    done.set()
    return await caller


def test_loss_of_the_cell_leader_moves_nothing(tmp_path: Path) -> None:
    """Guards against leases that end, or keys that move, when the leader is lost."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            before = await owners_of(fleet)
            leader = await fleet.leader()

            async def lose_leader() -> None:
                await fleet.kill(leader)
                assert await fleet.leader() != leader
                # Longer than a lease and its margin (0.95 s).
                await asyncio.sleep(1.5)

            replies = await replies_during(fleet, lose_leader)
            assert {(r.status, r.code) for r in replies} == {(200, 0)}
            assert await owners_of(fleet) == before
            assert max(fleet.runs().values()) == 1

    asyncio.run(scenario())


def test_loss_of_the_leader_and_of_another_router(tmp_path: Path) -> None:
    """Guards against keys that stay unserved after two hosts are lost at once."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, COMBINED_HOSTS, services=(KEYED,)) as fleet:
            leader = await fleet.leader()
            _, owner = await fleet.owned_key()
            # The loss of two control hosts at once is not tolerated, so pick a router.
            other = "d" if owner["host"] == "d" else "e"
            await fleet.kill(leader, other)
            survivors = [name for name in fleet.hosts if name not in {leader, other}]
            for number in range(64):
                host = survivors[number % len(survivors)]
                reply = await fleet.call_until_answered(host, f"/diary/key-{number}")
                beside = fleet.stand_ins[reply.content["upstream"]].host
                assert beside in survivors

    asyncio.run(scenario())


async def replica_roles(fleet: Fleet, group: str) -> dict[str, str]:
    """Return the role of each replica of a group, as its leader sees it."""
    for name, host in fleet.hosts.items():
        if not host.control or not fleet.is_running(name):
            continue
        status, answer = await fleet.ask_admin(name, f"voters?group={group}", None)
        if status != 200:
            continue
        found = answer["groups"][0]
        if str(found["leader"]).partition(":")[0] == name:
            return {row["replica"]: row["role"] for row in found["members"]}
    return {}


async def wait_for_roles(
    fleet: Fleet, group: str, accept: Callable[[dict[str, str]], bool]
) -> dict[str, str]:
    async with asyncio.timeout(WAIT_S):
        while True:
            found = await replica_roles(fleet, group)
            if accept(found):
                return found
            await asyncio.sleep(0.05)


async def restart_without_data(fleet: Fleet, lost: str) -> None:
    """Restart a host with an empty data folder; wait until its replicas are voters."""
    old = {group: set(await replica_roles(fleet, group)) for group in GROUPS}
    await fleet.kill(lost)
    shutil.rmtree(fleet.folder / f"data-{lost}")
    await fleet.start_hosts(lost)

    def is_repaired(group: str, found: dict[str, str]) -> bool:
        own = {name for name in found if name.startswith(f"{lost}:")}
        return (
            len(own) == 1
            and own.isdisjoint(old[group])
            and all(found[name] == "voter" for name in own)
        )

    for group in GROUPS:
        await wait_for_roles(fleet, group, partial(is_repaired, group))


def test_a_second_loss_right_after_a_repair_loses_nothing(tmp_path: Path) -> None:
    """Guards against a new replica that votes before it has caught up with the log."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            second = document(5, (KEYED,), moves=False)
            acknowledged = await fleet.apply(second, "second", 1)
            assert acknowledged["revision"] == 2
            before = await owners_of(fleet)
            first_lost = await fleet.leader()
            await restart_without_data(fleet, first_lost)
            other = next(name for name in ("c1", "c2", "c3") if name != first_lost)
            await fleet.kill(other)
            shutil.rmtree(fleet.folder / f"data-{other}")
            found = await fleet.admin("configuration")
            assert (found["revision"], found["change_id"]) == (2, "second")
            assert await owners_of(fleet) == before
            assert await fleet.apply(second, "second", 1) == acknowledged
            third = await fleet.apply(second, "third", 2)
            assert (third["code"], third["revision"]) == (0, 3)
            for host in ("r1", "r2"):
                reply = await fleet.call(host, "POST", "/diary/any", f"after-{host}")
                assert reply.outcome is Outcome.ANSWERED

    asyncio.run(scenario())


def test_a_frozen_leader_does_not_answer_as_current(tmp_path: Path) -> None:
    """Guards against a deposed leader that serves stale reads or commits changes."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            frozen = await fleet.leader("configuration")
            if frozen != await fleet.leader():
                # The groups elect leaders independently; one host must lead both.
                frozen = await elect_common_leader(fleet)
            fleet.signal(frozen, signal.SIGSTOP)
            paths = ("owners", "upstreams", "configuration", "explain?service=diary")
            reads = [
                asyncio.create_task(read_admin(fleet, frozen, path))
                for path in paths
                for _ in range(5)
            ]
            lost = document(4, (KEYED,), moves=False)
            write = asyncio.create_task(post_change(fleet, frozen, "stale", 1, lost))
            names = [name for name in ("c1", "c2", "c3") if name != frozen]
            won = await post_to_any(fleet, names, "newer", 1)
            assert won["code"] == 0
            fleet.signal(frozen, signal.SIGCONT)
            answers = await asyncio.gather(*reads)
            assert [status for status, _ in answers] == [421] * len(answers), answers
            status, answer = await write
            assert status != 200, answer
            found = await fleet.admin("configuration")
            assert (found["revision"], found["change_id"]) == (2, "newer")

    asyncio.run(scenario())


async def elect_common_leader(fleet: Fleet) -> str:
    """Restart control hosts until one of them leads both groups."""
    async with asyncio.timeout(WAIT_S):
        while True:
            cell, other = await fleet.leader(), await fleet.leader("configuration")
            if cell == other:
                return cell
            await fleet.stop(other)
            await fleet.start_hosts(other)


async def read_admin(fleet: Fleet, host: str, path: str) -> tuple[int, Any]:
    async with fleet.client.get(f"{fleet.admin_url(host)}/v1/{path}") as response:
        return response.status, await response.json()


async def post_change(
    fleet: Fleet, host: str, change_id: str, base: int, content: Any
) -> tuple[int, Any]:
    body = {
        "change_id": change_id,
        "base_revision": base,
        "author": "op",
        "document": content,
    }
    return await fleet.ask_admin(host, "configuration", body)


async def post_to_any(fleet: Fleet, names: list[str], change_id: str, base: int) -> Any:
    """Submit a change to the named hosts until one accepts or rejects it."""
    content = document(7, (KEYED,), moves=False)
    async with asyncio.timeout(WAIT_S):
        while True:
            for name in names:
                status, answer = await post_change(
                    fleet, name, change_id, base, content
                )
                if status in {200, 409}:
                    return answer
            await asyncio.sleep(0.05)


def large_document() -> Any:
    """Return a configuration whose log entry exceeds the file size limit."""
    content = document(6, (KEYED,), moves=False)
    content["services"] += [
        service(f"s{number}", prefix=f"/s{number}", key=None, repeatable=["GET /**"])
        for number in range(200)
    ]
    return content


async def resend(fleet: Fleet, names: list[str]) -> tuple[int, Any]:
    for name in names:
        found = await post_change(fleet, name, "big", 1, large_document())
        if found[0] == 200:
            return found
    return found


def test_a_full_data_folder_makes_the_host_step_down(tmp_path: Path) -> None:
    """Guards against a change acknowledged by a host that can't persist it."""

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            full = await fleet.leader("configuration")
            log = fleet.folder / f"data-{full}" / "configuration" / "log"
            limit = max(log.stat().st_size, 20_000)
            pid = fleet.processes[full].pid
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, limit))
            status, answer = await post_change(fleet, full, "big", 1, large_document())
            assert (status, answer["code"]) == (503, 5004)
            for number in range(3):
                content = document(number + 1, (KEYED,), moves=False)
                status, answer = await post_change(
                    fleet, full, f"small-{number}", 1, content
                )
                assert (status, answer["code"]) == (503, 5004)
            others = [name for name in ("c1", "c2", "c3") if name != full]
            async with asyncio.timeout(WAIT_S):
                while True:
                    status, _ = await resend(fleet, others)
                    if status == 200:
                        break
                    await asyncio.sleep(0.05)
            found = await fleet.admin("configuration")
            assert (found["revision"], found["change_id"]) == (2, "big")
            assert await fleet.leader("configuration") != full

    asyncio.run(scenario())


def test_an_upstream_lost_while_there_is_no_leader(tmp_path: Path) -> None:
    """Guards against slots that stay assigned to a dead upstream.

    The control hosts are down for longer than the router retries its report of the
    loss, so it has to report again once they are back.
    """

    async def scenario() -> None:
        async with running_fleet(tmp_path, SEPARATE_HOSTS, services=(KEYED,)) as fleet:
            key, owner = await fleet.owned_key()
            await fleet.kill("c1", "c2", owner["upstream"])
            # While its lease is valid, the router finds the dead upstream.
            reply = await fleet.call(owner["host"], "GET", f"/diary/{key}")
            assert reply.outcome is Outcome.NOT_RUN
            await asyncio.sleep(REPORT_RETRY_S + 1.0)
            await fleet.start_hosts("c1", "c2")
            found = await fleet.call_until_answered("r1", f"/diary/{key}")
            assert found.content["upstream"] != owner["upstream"]

    asyncio.run(scenario())
