from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import pytest

from tests.processes.fleet import HOSTS
from tests.processes.fleet import KEYED
from tests.processes.fleet import UNKEYED
from tests.processes.fleet import Fleet
from tests.processes.fleet import Reply


if TYPE_CHECKING:
    from pathlib import Path


SLOTS = 4
OVERLOADED = 3103
CALLS = {KEYED: f"/{UNKEYED}/{{key}}", UNKEYED: f"/{KEYED}/{{key}}"}


def mutual_fleet(folder: Path, service_ms: int, *, declared: bool) -> Fleet:
    """Return a fleet whose two services call each other."""
    flags = (f"--service-ms={service_ms}", f"--slots={SLOTS}")
    fleet = Fleet(folder, flags=flags)
    for name, spec in fleet.stand_ins.items():
        calls = f"--calls={CALLS[spec.service]}"
        fleet.stand_ins[name] = spec._replace(flags=(*spec.flags, calls))
    if declared:
        for service in fleet.document["services"]:
            service["calls"] = [UNKEYED if service["name"] == KEYED else KEYED]
    return fleet


@pytest.mark.parametrize("declared", [True, False])
def test_services_that_call_each_other_do_not_deadlock(
    declared: bool, tmp_path: Path
) -> None:
    """Guards against requests that hold all the slots their nested calls need.

    Where the configuration does not declare the calls, no slots are reserved and
    the same load blocks until the deadline. That case shows that the load would
    cause a deadlock without the reservation.
    """

    async def scenario() -> None:
        async with mutual_fleet(tmp_path, 25, declared=declared) as fleet:
            await fleet.start_all()
            replies = await asyncio.gather(
                *(
                    fleet.call(
                        HOSTS[number % 3].name,
                        "GET",
                        f"/{(KEYED, UNKEYED)[number % 2]}/key-{number}?nested=2",
                    )
                    for number in range(60)
                )
            )
            answered = [reply for reply in replies if reply.code == 0]
            refused = [reply for reply in replies if reply.code == OVERLOADED]
            completes = len(answered) + len(refused) == 60 and all(
                reply.status == 200 for reply in answered
            )
            assert completes == declared, [
                (r.status, r.code, r.body) for r in replies if r.status != 200
            ]
            if declared:
                assert len(answered) >= SLOTS
                depths = [depth_of(reply) for reply in answered]
                assert set(depths) == {2}

    asyncio.run(scenario())


def depth_of(reply: Reply) -> int:
    """Return how many nested calls an answer reports."""
    depth, content = 0, reply.content
    while "nested" in content:
        depth, content = depth + 1, content["nested"]["content"]
    return depth


def test_an_outside_caller_can_not_claim_a_reserved_slot(tmp_path: Path) -> None:
    """Guards against a forged nested-call header that unlocks reserved slots."""

    async def scenario() -> None:
        async with mutual_fleet(tmp_path, 800, declared=True) as fleet:
            await fleet.start_all()
            key, owner = await fleet.owned_key()
            claims = [
                f"{owner['host']}.1.0.0000000000000000",
                f"{owner['host']}.1.0.",
                "....",
                "\xb2.1.\xb2.0000000000000000",
            ]
            calls = [
                asyncio.create_task(
                    fleet.call(
                        owner["host"],
                        "GET",
                        f"/{KEYED}/{key}",
                        headers={"Sassafraswharf-Nested": claim},
                    )
                )
                for claim in claims
            ]
            max_in_flight = 0
            while not all(call.done() for call in calls):
                state = await fleet.state_of(owner["upstream"])
                max_in_flight = max(max_in_flight, state["in_flight"])
                await asyncio.sleep(0.02)
            replies = [await call for call in calls]
            assert [(r.status, r.code) for r in replies] == [(200, 0)] * len(claims)
            assert max_in_flight == SLOTS - 2

    asyncio.run(scenario())
