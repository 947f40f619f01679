"""End-to-end tests with five endpoints, real routers and control hosts."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from sassafraswharf.gateway.control_link import LONG_POLL_S
from sassafraswharf_bench.provider.fleet import BOOKING
from sassafraswharf_bench.provider.fleet import DIARY
from sassafraswharf_bench.provider.fleet import HOST
from sassafraswharf_bench.provider.fleet import Fleet
from sassafraswharf_bench.provider.fleet import document
from sassafraswharf_bench.provider.machines import PEER_PORTS


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


SERVICES = [DIARY, DIARY, DIARY, BOOKING, BOOKING]
SLOW_ROUTER_S = 0.3


def run_scenario(
    folder: Path, net: int, scenario: Callable[[Fleet], Awaitable[None]]
) -> None:
    async def main() -> None:
        fleet = Fleet(folder, SERVICES, net)
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())


def test_a_request_is_served_whole_with_its_origin(tmp_path: Path) -> None:
    """Guards against a request that loses its body, target or origin on the way."""

    async def scenario(fleet: Fleet) -> None:
        caller = fleet.caller("side-3")
        reply = await caller.send(
            "POST", "/book/a%20b?c=d%2F", HOST, body=b"whole body"
        )
        assert reply.status == 200
        assert reply.body == b"served whole body"
        run = next(
            run
            for endpoint in fleet.endpoints.values()
            for run in endpoint.runs
            if run.request_id == reply.request_id
        )
        assert run.target == "/book/a%20b?c=d%2F"
        assert run.origin == BOOKING
        assert (await caller.send("GET", "/nowhere/", HOST)).status == 404

    run_scenario(tmp_path, 11, scenario)


@pytest.mark.parametrize("victim", ["core-0", "side-0"])
def test_keys_are_served_again_after_a_process_was_killed(
    tmp_path: Path, victim: str
) -> None:
    """Guards against keys that nobody serves after a kill and a restart."""

    async def scenario(fleet: Fleet) -> None:
        fleet.machines.kill(victim)
        await asyncio.sleep(0.5)
        fleet.machines.start(victim)
        await fleet.wait_until(fleet.is_served, "keys are not served again")

    run_scenario(tmp_path, 12 if victim == "core-0" else 13, scenario)


def test_an_ended_endpoint_is_replaced_by_the_others(tmp_path: Path) -> None:
    """Guards against two holders of a key while an owner is replaced."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.end_endpoint("side-1")
        await fleet.wait_until(fleet.is_served, "keys are not served again")
        await fleet.start_endpoint("side-1")
        await asyncio.sleep(3)
        now = time.monotonic()
        held = sorted(
            (hold.first, hold.last)
            for endpoint in fleet.endpoints.values()
            for hold in endpoint.held(now)
        )
        assert all(before[1] < after[0] for before, after in itertools.pairwise(held))

    run_scenario(tmp_path, 14, scenario)


def test_a_booking_runs_at_most_once_while_routers_are_stopped(
    tmp_path: Path,
) -> None:
    """Guards against a booking that runs twice, or is refused although it ran."""

    async def scenario(fleet: Fleet) -> None:
        caller = fleet.caller("side-0")

        async def book() -> tuple[str, int]:
            reply = await caller.send("POST", "/book/x", HOST, body=b"b")
            return reply.request_id, reply.status

        replies: list[tuple[str, int]] = []
        for turn in range(30):
            if turn == 5:
                fleet.machines.signal("side-3", signal.SIGTERM)
            if turn == 12:
                fleet.machines.kill("side-4")
            if turn == 18:
                fleet.machines.processes["side-3"].wait(10)
                fleet.machines.start("side-3")
                fleet.machines.start("side-4")
            replies += await asyncio.gather(*(book() for _ in range(5)))
            await asyncio.sleep(0.1)
        runs = fleet.runs()
        assert all(runs.get(request, 0) <= 1 for request, _ in replies)
        refused = [one for one, status in replies if status in {429, 503}]
        assert not [one for one in refused if runs.get(one)]
        answered = [one for one, status in replies if status == 200]
        assert all(runs[one] == 1 for one in answered)
        assert len(answered) > len(replies) / 2

    run_scenario(tmp_path, 15, scenario)


def test_a_change_is_in_force_everywhere_and_survives_the_control_hosts(
    tmp_path: Path,
) -> None:
    """Guards against an acknowledged configuration that is lost or reverts."""

    async def scenario(fleet: Fleet) -> None:
        extra = {"pathPrefix": "/new/", "routeType": "idempotent", "service": BOOKING}
        changed = document(5, 1, new=extra)
        assert await fleet.operator.replace(changed) == 200
        assert await fleet.operator.replace(document(6, 1)) == 412
        split = [{"service": BOOKING, "weight": 1}]
        beside = {**extra, "trafficSplit": split, "service": "nowhere"}
        assert await fleet.operator.replace(document(6, 5, new=beside)) == 400

        async def is_in_force() -> bool:
            replies = [
                await fleet.caller(machine.name).send("GET", "/new/x", HOST)
                for machine in fleet.machines.routers
            ]
            return all(reply.status == 200 for reply in replies)

        await fleet.wait_until(is_in_force, "the change is not in force everywhere")
        for machine in fleet.machines.controls:
            fleet.machines.kill(machine.name)
        for machine in fleet.machines.controls:
            fleet.machines.start(machine.name)
        assert await fleet.operator.replace(changed) == 200
        assert (await fleet.operator.read())["version"] == "00000005"
        assert await is_in_force()

    run_scenario(tmp_path, 16, scenario)


def test_an_acknowledged_change_needs_no_control_host_any_more(tmp_path: Path) -> None:
    """Guards against a change that is late when the leader is lost right after it.

    Routers that had not heard of the change served the old configuration until the
    next leader was elected and found. Here one router is slow to hear of it, and there
    is no next leader.
    """

    async def scenario(fleet: Fleet) -> None:
        extra = {"pathPrefix": "/new/", "routeType": "idempotent", "service": BOOKING}
        fleet.machines.signal("side-0", signal.SIGSTOP)
        # The answer to its last report must not have the change.
        await asyncio.sleep(2 * LONG_POLL_S)
        loop = asyncio.get_running_loop()
        loop.call_later(SLOW_ROUTER_S, fleet.machines.signal, "side-0", signal.SIGCONT)
        assert await fleet.operator.replace(document(5, 1, new=extra)) == 200
        for machine in fleet.machines.controls:
            fleet.machines.kill(machine.name)
        await asyncio.sleep(SLOW_ROUTER_S)
        for machine in fleet.machines.routers:
            reply = await fleet.caller(machine.name).send("GET", "/new/x", HOST)
            assert reply.status == 200, machine.name

    run_scenario(tmp_path, 40, scenario)


def test_a_caller_that_leaves_ends_the_work(tmp_path: Path) -> None:
    """Guards against upstreams that work for disconnected callers (`give_up`)."""

    async def scenario(fleet: Fleet) -> None:
        for endpoint in fleet.endpoints.values():
            endpoint.work_s = 120.0
        caller = fleet.caller("side-0")
        request = asyncio.create_task(
            caller.send("POST", "/book/x", HOST, body=b"b", deadline_ms=100_000)
        )

        async def is_running() -> bool:
            return any(endpoint.running for endpoint in fleet.endpoints.values())

        async def is_idle() -> bool:
            return not await is_running()

        await fleet.wait_until(is_running, "the request never ran")
        request.cancel()
        await fleet.wait_until(is_idle, "the request was never cancelled")

    run_scenario(tmp_path, 17, scenario)


@pytest.mark.parametrize("has_leader", [True, False])
def test_an_upstream_whose_leave_was_acknowledged_gets_no_work_after_a_restart(
    tmp_path: Path, has_leader: bool
) -> None:
    """Guards against a deregistered upstream that is used again after a restart.

    The upstream deregisters once but continues to announce itself, and its router is
    killed right after the acknowledgement.
    """

    async def scenario(fleet: Fleet) -> None:
        leaving = fleet.endpoints["side-3"]
        controls = [one.name for one in fleet.machines.controls]
        if not has_leader:
            for name in controls:
                fleet.machines.kill(name)
        is_acknowledged = await leaving.deregister()
        fleet.machines.kill("side-3")
        if not has_leader:
            for name in controls:
                fleet.machines.start(name)
        fleet.machines.start("side-3")
        await asyncio.sleep(3.0)
        before = len(leaving.runs)
        caller = fleet.caller("side-0")
        for _ in range(30):
            await caller.send("POST", "/book/x", HOST, body=b"b")
        assert is_acknowledged or not has_leader
        assert not is_acknowledged or len(leaving.runs) == before

    run_scenario(tmp_path, 21 if has_leader else 22, scenario)


def is_leader_page(page: str) -> bool:
    """Return whether a metrics page comes from the leader."""
    values = [line.split()[-1] for line in page.splitlines() if 'what="leads"' in line]
    return [float(value) for value in values] == [1.0]


def test_metrics_are_served_when_somebody_reads_them(tmp_path: Path) -> None:
    """Guards against counters that are never exported."""

    async def scenario(fleet: Fleet) -> None:
        async with aiohttp.ClientSession() as session:
            pages = {}
            controls = [machine.name for machine in fleet.machines.controls]
            for name in ("side-0", *controls):
                ip = fleet.machines.machine(name).ip
                async with session.get(f"http://{ip}:9464/metrics") as response:
                    pages[name] = await response.text()
        assert 'code="0"' in pages["side-0"]
        assert "sassafraswharf_request_latency" in pages["side-0"]
        assert all('what="can_acknowledge"' in pages[name] for name in controls)
        # Routers report to the leader, which may be any of the control hosts.
        leader = next(name for name in controls if is_leader_page(pages[name]))
        for name, kinds in (("side-0", ["hop"]), (leader, ["report", "fleet"])):
            for what in ("bytes", "messages"):
                counted = [
                    line
                    for line in pages[name].splitlines()
                    if line.startswith(f"sassafraswharf_traffic_{what}_total")
                    and 'peers="own_zone"' in line
                    and float(line.split()[-1]) > 0
                ]
                for kind in kinds:
                    assert any(f'kind="{kind}"' in line for line in counted)

    run_scenario(tmp_path, 18, scenario)


@pytest.mark.parametrize(
    ("method", "path", "key"),
    [("GET", "/diary/x?mark=crash", 7), ("POST", "/book/x?mark=crash", None)],
)
def test_a_crashing_request_is_refused_after_a_few_crashes(
    tmp_path: Path, method: str, path: str, key: int | None
) -> None:
    """Guards against one resent request that crashes an upstream each time."""

    async def scenario(fleet: Fleet) -> None:
        crashed = 0
        codes: list[bytes] = []
        until = time.monotonic() + 60.0
        while codes[-3:] != [b"3109"] * 3 and time.monotonic() < until:
            caller = fleet.caller(f"side-{len(codes) % len(SERVICES)}")
            reply = await caller.send(method, path, HOST, key=key)
            codes.append(reply.body[:4])
            for name, endpoint in list(fleet.endpoints.items()):
                if endpoint.crashed.is_set():
                    crashed += 1
                    await fleet.end_endpoint(name)
                    await asyncio.sleep(0.3)
                    await fleet.start_endpoint(name)
        assert codes[-3:] == [b"3109"] * 3
        assert crashed <= 4
        await fleet.wait_until(fleet.is_served, "other requests are not served")

    run_scenario(tmp_path, 19 if key is None else 18, scenario)


async def run_tool(*arguments: str) -> tuple[int, Any]:
    """Run the command line and return its status and the JSON that it prints."""
    process = await asyncio.create_subprocess_exec(
        str(Path(sys.executable).with_name("sassafraswharf")),
        *arguments,
        "--json",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, json.loads(output)


def test_the_command_line_reads_the_fleet(tmp_path: Path) -> None:
    """Guards against a command line that can't show the state of the fleet."""

    async def scenario(fleet: Fleet) -> None:
        # Any control host redirects the tool to the leader.
        admin = ("--admin", f"{fleet.machines.controls[1].ip}:{PEER_PORTS[0]}")
        status, found = await run_tool("status", *admin)
        assert status == 0
        hosts = {host["host"]: host for host in found["hosts"]}
        assert all(hosts[one.name]["live"] for one in fleet.machines.routers)
        assert len(hosts) == len(fleet.machines.routers) + 3
        _, found = await run_tool("upstreams", *admin)
        owned = [one["owned_keys"] for one in found["upstreams"]]
        assert sum(owned) == 65_536
        assert len(owned) == len(SERVICES)
        _, found = await run_tool("explain", DIARY, "7", *admin)
        assert found["first_key"] <= 7 <= found["last_key"]
        owner = fleet.endpoints[found["host"]]
        assert owner.instance == found["upstream"]
        status, found = await run_tool("explain", DIARY, "x7", *admin)
        assert status != 0
        assert "from 0 to 65535" in found["message"]
        _, found = await run_tool("audit", *admin)
        assert [entry["revision"] for entry in found["entries"]] == [1]

    run_scenario(tmp_path, 20, scenario)
