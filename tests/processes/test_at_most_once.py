from __future__ import annotations

import asyncio
import random
import signal

from typing import TYPE_CHECKING

import pytest

from tests.processes.fleet import KEYED
from tests.processes.fleet import UNKEYED
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import Reply
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    Fault = Callable[[Fleet, str], Awaitable[None]]


REQUESTS = 120
CALLERS = 20
FAULT_AFTER_REQUESTS = 30
MAX_ATTEMPTS = 6
FREEZE_S = 1.6
"""Longer than the lease (0.95 s) and the recovery after it."""


async def kill_host(fleet: Fleet, victim: str) -> None:
    await fleet.kill(victim, *fleet.stand_ins_on(victim))


async def freeze(fleet: Fleet, *names: str) -> None:
    for name in names:
        fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    for name in names:
        fleet.signal(name, signal.SIGCONT)


async def freeze_host(fleet: Fleet, victim: str) -> None:
    await freeze(fleet, victim, *fleet.stand_ins_on(victim))


async def freeze_router(fleet: Fleet, victim: str) -> None:
    await freeze(fleet, victim)


async def stop_router(fleet: Fleet, victim: str) -> None:
    assert await fleet.stop(victim) == 0


async def kill_router(fleet: Fleet, victim: str) -> None:
    await fleet.kill(victim)


async def kill_upstreams(fleet: Fleet, victim: str) -> None:
    await fleet.kill(*fleet.stand_ins_on(victim))


async def no_fault(_fleet: Fleet, _victim: str) -> None:
    """Inject no fault; in this case callers disconnect."""


FAULTS: dict[str, tuple[Fault, float]] = {
    "host killed": (kill_host, 0.1),
    "host frozen": (freeze_host, 0.1),
    "router frozen": (freeze_router, 0.1),
    "router stopped as planned": (stop_router, 0.1),
    "router killed": (kill_router, 0.1),
    "upstreams killed": (kill_upstreams, 0.1),
    "callers leave": (no_fault, 0.6),
}
"""The fault, and the share of attempts whose caller closes the connection early."""


class Request:
    """A booking or deposit with the replies to all its attempts."""

    def __init__(self, number: int) -> None:
        self.rng = random.Random(number)
        service = KEYED if number % 2 else UNKEYED
        self.key = f"{service}-{number}"
        self.path = f"/{KEYED}/k{number}"
        if service == UNKEYED:
            self.path = f"/{UNKEYED}/k{number}/deposits"
        self.replies: list[Reply] = []
        self.gives_up_early = number % 5 == 0

    async def attempt(self, fleet: Fleet, abandon_share: float) -> Outcome:
        host = self.rng.choice(list(fleet.hosts))
        if self.rng.random() < abandon_share:
            # Timeouts on both sides of the service time of 15 ms.
            reply = await fleet.call(
                host, "POST", self.path, self.key, self.rng.uniform(0.002, 0.04)
            )
        else:
            reply = await fleet.call(host, "POST", self.path, self.key)
        self.replies.append(reply)
        return reply.outcome

    async def send(self, fleet: Fleet, abandon_share: float) -> None:
        for _ in range(MAX_ATTEMPTS):
            outcome = await self.attempt(fleet, abandon_share)
            if outcome is Outcome.ANSWERED or (
                outcome is Outcome.NOT_RUN and self.gives_up_early
            ):
                return
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    def violation(self, runs: int) -> str:
        outcomes = [reply.outcome for reply in self.replies]
        bodies = {
            reply.body for reply in self.replies if reply.outcome is Outcome.ANSWERED
        }
        told = f"{self.key}: {runs} runs; " + ", ".join(
            f"{reply.status}/{reply.code}/{reply.not_run}" for reply in self.replies
        )
        if runs > 1:
            return f"ran twice: {told}"
        if bodies and runs != 1:
            return f"answered but did not run: {told}"
        if len(bodies) > 1:
            return f"two answers: {told}"
        # If every attempt was refused as not run, the request must not have run. A
        # refusal of scope "key" covers all attempts (section 4.9 of the design).
        all_refused = set(outcomes) == {Outcome.NOT_RUN}
        if runs and (all_refused or self.replies[-1].not_run == "key"):
            return f"refused as not run, but ran: {told}"
        misled = {reply.code for reply in self.replies} & {3002, 3005, 3006}
        if misled:
            return f"valid service, key or operation was refused: {told}"
        return ""


@pytest.mark.parametrize("name", FAULTS)
def test_runs_at_most_once_and_as_told(name: str, tmp_path: Path) -> None:
    """Guards against a booking that runs twice, or that contradicts its last reply."""
    fault, abandon_share = FAULTS[name]

    async def scenario() -> tuple[list[Request], dict[str, int]]:
        async with running_fleet(tmp_path, moves=True) as fleet:
            victim = (await fleet.owner("k1"))["host"]
            requests = [Request(number) for number in range(REQUESTS)]
            pending = iter(requests)
            done = asyncio.Semaphore(0)

            async def caller() -> None:
                for request in pending:
                    await request.send(fleet, abandon_share)
                    done.release()

            callers = [asyncio.create_task(caller()) for _ in range(CALLERS)]
            for _ in range(FAULT_AFTER_REQUESTS):
                await done.acquire()
            await fault(fleet, victim)
            await asyncio.gather(*callers)
            await fleet.restart(victim)
            await fleet.wait_until_settled()
            late = [request for request in requests if not request.gives_up_early]
            await asyncio.gather(*(request.attempt(fleet, 0.0) for request in late))
            return requests, fleet.runs()

    requests, runs = asyncio.run(scenario())
    violations = [request.violation(runs[request.key]) for request in requests]
    assert not any(violations), "\n".join(filter(None, violations))
    answered = [
        request
        for request in requests
        if any(reply.outcome is Outcome.ANSWERED for reply in request.replies)
    ]
    # A system that refuses every request would pass the checks above.
    assert len(answered) >= REQUESTS // 2


def test_resends_that_queue_behind_their_first_attempt(tmp_path: Path) -> None:
    """Guards against a resend that makes the attempt ahead of it end as not run.

    All slots of the upstream are taken, so the attempts of one key are queued
    together. The slots become free one after the other, so the second attempt
    is admitted while the first one runs.
    """
    flags = ("--slots=2", "--service-ms=900")

    async def scenario() -> tuple[list[Reply], int]:
        async with running_fleet(tmp_path, flags=flags, services=(KEYED,)) as fleet:
            owner = await fleet.owner("same")
            blockers = []
            for number in (1, 2):
                lookup = fleet.call(owner["host"], "GET", "/diary/same")
                blockers.append(asyncio.create_task(lookup))
                await fleet.wait_in_flight(owner["upstream"], number)
                await asyncio.sleep(0.3)

            def book(host: str) -> asyncio.Task[Reply]:
                call = fleet.call(host, "POST", "/diary/same", "same-booking")
                return asyncio.create_task(call)

            attempts = [book(host) for host in (*fleet.hosts, *fleet.hosts)]
            await asyncio.gather(*blockers)
            await asyncio.sleep(0.1)
            attempts += [book(host) for host in fleet.hosts]
            replies = await asyncio.gather(*attempts)
            return replies, fleet.runs()["same-booking"]

    replies, runs = asyncio.run(scenario())
    assert runs == 1, replies
    assert {(reply.status, reply.code) for reply in replies} == {(200, 0)}
    assert len({reply.body for reply in replies}) == 1
