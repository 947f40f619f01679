from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer

from sassafraswharf_bench.standin.announcer import Announcer
from sassafraswharf_bench.standin.application import build_application
from sassafraswharf_bench.standin.behaviour import Behaviour
from sassafraswharf_bench.standin.behaviour import service_time_s
from sassafraswharf_bench.standin.upstream import Identity
from sassafraswharf_bench.standin.upstream import Upstream


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Client = TestClient[Any, Any]

NO_DELAY = Behaviour(service_ms=0.0, checks_grants=False)
GRANT = {"runs": [[5, 2, "u", 1, 7, False, []]], "valid_for_s": 10}


def run_with_upstream(
    scenario: Callable[[Client, Upstream], Awaitable[None]], behaviour: Behaviour
) -> list[float]:
    crashes: list[float] = []
    freezes: list[float] = []
    upstream = Upstream(
        Identity("u", "diary", "127.0.0.1:1", 130, 3),
        behaviour,
        random.Random(1),
        crash=crashes.append,
    )

    async def run() -> None:
        server = TestServer(build_application(upstream, freezes.append))
        async with TestClient(server) as client:
            await scenario(client, upstream)

    asyncio.run(run())
    return crashes + freezes


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition never held")


def test_counts_runs_and_keeps_state_per_key() -> None:
    """Guards against a repeated booking that is not detected."""

    async def scenario(client: Client, _upstream: Upstream) -> None:
        headers = {"Idempotency-Key": "i-1"}
        for _ in range(2):
            await client.post("/diary/k1/bookings", headers=headers)
        await client.post("/diary/k1/deposits", json={"amount": 4})
        answer = await (await client.get("/diary/k1?id=r-9")).json()
        assert (answer["key"], answer["id"]) == ("k1", "r-9")
        assert (answer["bookings"], answer["deposits"]) == (2, 4)
        counts = await (await client.get("/-/runs")).json()
        assert counts == {"runs": {"i-1": 2}, "repeated": ["i-1"], "total": 2}

    run_with_upstream(scenario, NO_DELAY)


@pytest.mark.parametrize(
    ("slot", "epoch", "status"),
    [("5", "7", 200), ("6", "6", 409), ("5", "8", 409), ("7", "7", 409), ("", "", 409)],
)
def test_checks_the_epoch_per_slot(slot: str, epoch: str, status: int) -> None:
    """Guards against work under an epoch that was not granted."""

    async def scenario(client: Client, upstream: Upstream) -> None:
        headers = {"Sassafraswharf-Slot": slot, "Sassafraswharf-Epoch": epoch}
        assert (await client.post("/-/grant", json=GRANT)).status == 200
        response = await client.post("/diary/k/bookings", headers=headers)
        assert response.status == status
        assert ("Sassafraswharf-Not-Run" in response.headers) == (status == 409)
        upstream.behaviour = NO_DELAY
        assert (await client.get("/diary/k", headers=headers)).status == 200

    run_with_upstream(scenario, NO_DELAY._replace(checks_grants=True))


@pytest.mark.parametrize(
    ("grant", "status"),
    [
        ({"runs": [[5, 1, "u", 1, 6, False, []]]}, 409),
        ({"runs": [{"start": 5, "length": 1, "epoch": 8}]}, 200),
        ({"runs": [[5, 1]]}, 400),
        ([], 400),
    ],
)
def test_refuses_old_and_malformed_grants(grant: object, status: int) -> None:
    """Guards against a delayed grant that restores an old epoch."""

    async def scenario(client: Client, _upstream: Upstream) -> None:
        await client.post("/-/grant", json=GRANT)
        assert (await client.post("/-/grant", json=grant)).status == status

    run_with_upstream(scenario, NO_DELAY)


def test_sheds_above_its_slots_and_drains() -> None:
    """Guards against refusals that lack the not-run header."""

    async def scenario(client: Client, upstream: Upstream) -> None:
        upstream.in_flight = upstream.behaviour.slots
        response = await client.get("/diary/k")
        assert response.status == 503
        assert response.headers["Sassafraswharf-Not-Run"] == "1"
        upstream.in_flight = 0
        await client.post("/-/drain")
        assert (await client.get("/diary/k")).status == 200
        assert upstream.announcement() is None
        upstream.draining_since = upstream.now() - 2.0
        assert (await client.get("/diary/k")).status == 503
        assert upstream.counts["run_while_draining"] == 1

    run_with_upstream(scenario, NO_DELAY)


def test_honours_deadlines_and_cancellation_unless_switched_off() -> None:
    """Guards against work that continues after its caller has stopped waiting."""

    async def scenario(client: Client, upstream: Upstream) -> None:
        late = {"Sassafraswharf-Deadline-Ms": "0"}
        assert (await client.post("/diary/k/b", headers=late)).status == 503
        upstream.behaviour = NO_DELAY._replace(honours_deadlines=False)
        assert (await client.post("/diary/k/b", headers=late)).status == 200
        upstream.behaviour = NO_DELAY._replace(
            service_ms=60_000.0, distribution="fixed"
        )
        call = asyncio.ensure_future(client.post("/diary/k/b"))
        await wait_until(lambda: upstream.in_flight == 1)
        call.cancel()
        await wait_until(lambda: upstream.in_flight == 0)
        assert upstream.counts["cancelled"] == 1

    run_with_upstream(scenario, NO_DELAY)


def test_crashes_freezes_and_cuts_on_demand() -> None:
    """Guards against configured faults that don't take effect."""

    async def scenario(client: Client, _upstream: Upstream) -> None:
        await client.get("/diary/k?mark=crash")
        response = await client.get("/diary/k?mark=cut")
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
        change = {"freeze_s": 0.5, "health": "idle", "shed": True}
        assert (await client.post("/-/behaviour", json=change)).status == 200
        health = await (await client.get("/-/health")).json()
        assert health == {"healthy": True, "load": 0.0}
        for wrong in ({"speed": 0}, {"slots": "x"}, {"unknown": 1}, 5):
            assert (await client.post("/-/behaviour", json=wrong)).status == 400
        await asyncio.sleep(0.05)

    assert run_with_upstream(scenario, NO_DELAY) == [70, 0.5]


def test_announces_the_fields_of_the_contract() -> None:
    """Guards against an announcement that a router would reject."""

    async def scenario(client: Client, upstream: Upstream) -> None:
        announcer = Announcer(str(client.make_url("/")), upstream.announcement)
        async with aiohttp.ClientSession() as session:
            await announcer.announce_once(session)
        assert announcer.sent == 1
        assert set(upstream.announcement() or ()) == {
            "upstream",
            "service",
            "address",
            "slots",
            "connections",
            "checks_grants",
            "incarnation",
            "speed",
        }

    run_with_upstream(scenario, NO_DELAY)


@pytest.mark.parametrize(
    ("behaviour", "up_for_s", "in_flight", "expected_s"),
    [
        (Behaviour(10, "fixed"), 0, 1, 0.010),
        (Behaviour(10, "fixed", speed=2), 0, 1, 0.005),
        (Behaviour(10, "fixed", cold_s=5, cold_factor=4), 4, 1, 0.040),
        (Behaviour(10, "fixed", cold_s=5, cold_factor=4), 5, 1, 0.010),
        (Behaviour(10, "fixed", slots=2), 0, 6, 0.030),
    ],
)
def test_service_time(
    behaviour: Behaviour, up_for_s: float, in_flight: int, expected_s: float
) -> None:
    """Guards against a cold or slow upstream that is as fast as any other."""
    drawn = service_time_s(behaviour, up_for_s, in_flight, random.Random(1))
    assert drawn == pytest.approx(expected_s)
