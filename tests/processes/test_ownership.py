from __future__ import annotations

import asyncio
import signal

from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.processes.fleet import HOSTS
from tests.processes.fleet import KEYED
from tests.processes.fleet import UNKEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import Reply
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from pathlib import Path


LEASE_S = 0.95
"""Duration of a lease plus its clock drift margin."""
SLOW = ("--service-ms=1500", "--slots=30")


async def send_with_epoch(fleet: Fleet, stand_in: str, slot: int, epoch: int) -> Reply:
    """Send a booking directly to a stand-in with a slot and epoch."""
    fields = {
        "Sassafraswharf-Slot": str(slot),
        "Sassafraswharf-Epoch": str(epoch),
        "Sassafraswharf-Deadline-Ms": "5000",
    }
    url = f"http://{fleet.addresses[stand_in]}/diary/any"
    return await fleet.send(url, "POST", f"old-{stand_in}", headers=fields)


def test_a_frozen_owner_serves_nothing_after_it_has_lost_its_keys(
    tmp_path: Path,
) -> None:
    """Guards against two owners of a key after a freeze longer than the lease.

    Requests are queued at the frozen router before it resumes. It would serve
    them first if it trusted its lease without checking the clock.
    """

    async def scenario() -> None:
        async with running_fleet(tmp_path, services=(KEYED,)) as fleet:
            key, old = await fleet.owned_key()
            victim, path = old["host"], f"/diary/{key}"
            other = next(name for name in fleet.hosts if name != victim)
            before = await fleet.call_until_answered(other, path)
            assert before.content["epoch"] == old["epoch"]
            fleet.signal(victim, signal.SIGSTOP)
            waiting = [
                asyncio.create_task(fleet.call(victim, "POST", path, f"late-{number}"))
                for number in range(20)
            ]
            await fleet.wait_until(
                f"explain?service=diary&key={key}",
                lambda owner: owner["host"] not in {None, victim},
                WAIT_S,
            )
            after = await fleet.call_until_answered(other, path)
            assert after.content["upstream"] != old["upstream"]
            assert after.content["epoch"] > old["epoch"]
            fleet.signal(victim, signal.SIGCONT)
            late = await asyncio.gather(*waiting)
            direct = [await fleet.call(victim, "GET", path) for _ in range(20)]
            answered = [r for r in (*late, *direct) if r.outcome is Outcome.ANSWERED]
            assert answered
            for reply in answered:
                assert reply.content["epoch"] >= after.content["epoch"]
            runs = fleet.runs()
            for number, reply in enumerate(late):
                assert runs[f"late-{number}"] == (reply.outcome is Outcome.ANSWERED), (
                    reply
                )
            new = after.content["upstream"]
            refused = await send_with_epoch(fleet, new, old["slot"], old["epoch"])
            assert refused.status == 409
            assert not fleet.runs()[f"old-{new}"]

    asyncio.run(scenario())


def test_a_grant_is_valid_as_long_as_the_lease(tmp_path: Path) -> None:
    """Guards against a grant that expires before the lease or outlives it.

    An upstream that checks the validity of grants serves without interruption while
    its router runs, and refuses the epoch once the lease of a frozen router ends.
    """

    async def scenario() -> None:
        flags = ("--checks-validity",)
        async with running_fleet(tmp_path, flags=flags, services=(KEYED,)) as fleet:
            key, owner = await fleet.owned_key()
            for _ in range(100):
                reply = await fleet.call("a", "GET", f"/diary/{key}")
                assert (reply.status, reply.code) == (200, 0)
                await asyncio.sleep(0.02)
            fleet.signal(owner["host"], signal.SIGSTOP)
            await asyncio.sleep(LEASE_S)
            refused = await send_with_epoch(
                fleet, owner["upstream"], owner["slot"], owner["epoch"]
            )
            assert refused.status == 409
            assert not fleet.runs()[f"old-{owner['upstream']}"]

    asyncio.run(scenario())


async def start_slow(
    fleet: Fleet, host: str, path: str, count: int
) -> list[asyncio.Task[Reply]]:
    """Start lookups and bookings that are still running during the stop."""
    return [
        asyncio.create_task(
            fleet.call(host, "POST", path, f"slow-{host}-{number}")
            if number % 2
            else fleet.call(host, "GET", path)
        )
        for number in range(count)
    ]


def test_a_planned_stop_cuts_nothing_off(tmp_path: Path) -> None:
    """Guards against answers lost in a planned stop, and a wait for lease expiry.

    The caller of one booking disconnects before the stop. No caller waits for its
    answer at this host, but the booking still has to finish and to be recorded.
    """

    async def scenario() -> None:
        async with running_fleet(tmp_path, flags=SLOW, services=(KEYED,)) as fleet:
            key, owner = await fleet.owned_key()
            victim, path = owner["host"], f"/diary/{key}"
            other = next(name for name in fleet.hosts if name != victim)
            calls = await start_slow(fleet, victim, path, 8)
            calls += await start_slow(fleet, other, path, 8)
            await fleet.wait_in_flight(owner["upstream"], 16)
            await asyncio.sleep(0.5)
            left = asyncio.create_task(fleet.call(victim, "POST", path, "left"))
            await fleet.wait_in_flight(owner["upstream"], 17)
            left.cancel()
            assert await fleet.stop(victim) == 0
            status = await fleet.admin("status")
            live = {row["host"] for row in status["hosts"] if row["session"]}
            # The session is closed before the process exits, so the slots move
            # although the lease would still be valid.
            assert victim not in live
            replies = await asyncio.gather(*calls)
            assert [(r.status, r.code) for r in replies] == [(200, 0)] * 16
            counts = (await fleet.state_of(owner["upstream"]))["counts"]
            assert counts.get("cancelled", 0) == 0
            assert fleet.runs()["left"] == 1
            again = await fleet.call_until_answered(other, path)
            assert again.content["upstream"] != owner["upstream"]
            resent = await fleet.call(other, "POST", path, "left")
            assert resent.outcome is Outcome.ANSWERED
            assert fleet.runs()["left"] == 1

    asyncio.run(scenario())


async def busiest(fleet: Fleet) -> str:
    """Return the stand-in with the most requests in flight, once there are any."""
    async with asyncio.timeout(WAIT_S):
        while True:
            states = {name: await fleet.state_of(name) for name in fleet.stand_ins}
            name = max(states, key=lambda name: int(states[name]["in_flight"]))
            if states[name]["in_flight"]:
                return name
            await asyncio.sleep(0.01)


FLAGS_BY_SERVICE = {KEYED: SLOW, UNKEYED: ("--service-ms=400", "--slots=30")}
"""An upstream that does not check grants must answer within the lease."""


@pytest.mark.parametrize("service", FLAGS_BY_SERVICE)
def test_a_drained_upstream_gets_no_new_work(service: str, tmp_path: Path) -> None:
    """Guards against new requests for a draining upstream, and aborted requests."""
    flags = FLAGS_BY_SERVICE[service]

    async def scenario() -> None:
        async with running_fleet(tmp_path, flags=flags, services=(service,)) as fleet:
            paths = [f"/{service}/key-{number}" for number in range(24)]
            calls = [
                asyncio.create_task(fleet.call(HOSTS[number % 3].name, "GET", path))
                for number, path in enumerate(paths)
            ]
            drained = await busiest(fleet)
            reply = await fleet.admin(f"upstreams/{drained}/drain", {"actor": "op"})
            assert reply["state"] == "draining"
            await asyncio.sleep(2.0)
            counted = (await fleet.state_of(drained))["counts"]
            later = [
                fleet.call(HOSTS[number % 3].name, "GET", path)
                for number, path in enumerate(paths)
            ]
            replies = await asyncio.gather(*calls, *later)
            assert [(r.status, r.code) for r in replies] == [(200, 0)] * 48
            served = {r.content["upstream"] for r in replies[24:]}
            assert drained not in served

            def is_gone(found: Any) -> bool:
                return any(
                    row["upstream"] == drained
                    and row["state"] == "gone"
                    and row["owned_slots"] == 0
                    for row in found["upstreams"]
                )

            await fleet.wait_until("upstreams", is_gone, WAIT_S)
            state = await fleet.state_of(drained)
            assert state["counts"].get("draining", 0) == 0
            assert state["counts"]["run"] <= counted.get("run", 0) + 24
            assert state["counts"].get("cancelled", 0) == 0
            assert state["in_flight"] == 0

    asyncio.run(scenario())
