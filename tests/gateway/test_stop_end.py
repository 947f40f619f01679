"""Requests that a router accepted and that do not run when its shutdown ends."""

from __future__ import annotations

import asyncio
import random
import time

from typing import TYPE_CHECKING

import pytest
import uvloop

from result import Err

from sassafraswharf.gateway.hop_client import HopClient
from sassafraswharf.gateway.hop_codec import HOP
from sassafraswharf.gateway.hop_codec import encode_hop
from sassafraswharf.gateway.local_upstream import QueuedRequest
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.gateway.work import Terms
from sassafraswharf.platform.names import HEADER_NAMES
from tests.gateway.routers import DIARY
from tests.gateway.routers import GRACE_S
from tests.gateway.routers import LOOPBACK
from tests.gateway.routers import SELF
from tests.gateway.routers import running
from tests.gateway.routers import work


if TYPE_CHECKING:
    from collections.abc import Callable


LONG_S = 20.0
LONG = "20s"


def head(request_id: str, size: int, *fields: str) -> bytes:
    """Return the head of a booking with a body of ``size`` bytes."""
    return "\r\n".join(
        (
            "POST /x HTTP/1.1",
            "Host: a.example",
            f"{HEADER_NAMES.request_id}: {request_id}",
            f"Content-Length: {size}",
            *fields,
            "\r\n",
        )
    ).encode()


async def give_up_as_a_limit_expires() -> list[bytes]:
    """Return the status lines when two timers expire in one loop iteration."""
    async with running(LONG_S, LONG) as site:
        opened = [await asyncio.open_connection(*site.callers) for _ in range(5)]
        for number, (_, writer) in enumerate(opened):
            limit_ms = 9_000 if number else 600
            deadline = f"{HEADER_NAMES.deadline_ms}: {limit_ms}"
            writer.write(head(f"r{number}", 0, deadline))
        await asyncio.sleep(0.3)
        assert len(site.ran) == len(opened)
        loop = asyncio.get_running_loop()
        due = min(one.when() or 0.0 for one in site.router.ingress.timeouts)
        loop.call_at(due, site.router.give_up)
        # The loop is blocked while both expire.
        loop.call_at(due - 0.02, time.sleep, 0.05)
        await asyncio.sleep(due - loop.time() + 0.2)
        answers = []
        for reader, writer in opened:
            async with asyncio.timeout(2):
                answers.append(await reader.read(12))
            writer.close()
        await site.router.stop()
        return answers


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uv"]
)
def test_all_requests_get_a_response_while_one_times_out(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against an error at the end of a shutdown that cuts other requests."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answers = runner.run(give_up_as_a_limit_expires())
    assert answers == [b"HTTP/1.1 504"] * len(answers)


async def end_a_body_late(ends_at_s: float, is_hop: bool) -> tuple[bytes, list[str]]:
    """Return the response to a booking whose body ends late, and what ran."""
    async with running(1.2, LONG) as site:
        now = site.router.clock.now()
        terms = Terms(1, False, now + LONG_S, now + LONG_S)
        hop = encode_hop(work(now)._replace(terms=terms), SELF, now)
        peers = (LOOPBACK, site.router.node.first_peer_port)
        reader, writer = await asyncio.open_connection(
            *(peers if is_hop else site.callers)
        )
        stopping = asyncio.create_task(site.router.stop())
        await asyncio.sleep(GRACE_S / 2 - 0.1)
        writer.write(head("late", 8, f"{HOP}: {hop}") + b"book")
        await asyncio.sleep(ends_at_s - GRACE_S / 2 + 0.1)
        writer.write(b"ing!")
        answer = await reader.read()
        await stopping
        writer.close()
        return answer, site.ran


@pytest.mark.parametrize("is_hop", [False, True])
@pytest.mark.parametrize("ends_at_s", [2.6, 3.0, 3.2])
def test_a_booking_whose_body_ends_too_late_is_refused(
    ends_at_s: float, is_hop: bool
) -> None:
    """Guards against a request accepted on its head but forwarded too late."""
    answer, ran = asyncio.run(end_a_body_late(ends_at_s, is_hop))
    assert answer.startswith(b"HTTP/1.1 503")
    assert not ran


def test_a_hop_that_waits_for_its_key_is_refused_as_not_run() -> None:
    """Guards against an unknown outcome for a hop that was sent to no upstream."""

    async def main() -> tuple[object, list[str]]:
        async with running(0.1, LONG) as site:
            router = site.router
            assert router.local is not None
            router.local.owns = lambda *_: True
            peers = router.node.first_peer_port
            hops = HopClient(
                peers, UpstreamChooser("a", random.Random(1)), router.clock
            )
            now = router.clock.now()
            terms = Terms(1, False, now + LONG_S, now + LONG_S)
            waiting = work(now)._replace(key=5, terms=terms)
            sent = asyncio.create_task(hops.run(waiting, DIARY))
            await asyncio.sleep(0.1)
            await router.stop()
            hops.close()
            return await sent, site.ran

    outcome, ran = asyncio.run(main())
    assert isinstance(outcome, Err)
    assert outcome.err_value.not_run
    assert not ran


def test_a_refusal_that_crosses_a_cancellation_frees_no_slot() -> None:
    """Guards against more running requests than the upstream has slots.

    A refused request has no slot, even if it is cancelled in the same iteration.
    """

    async def main() -> tuple[int, int]:
        async with running(0.1, LONG) as site:
            local = site.router.local
            assert local is not None
            local.queue.limit = 1
            now = site.router.clock.now()
            terms = Terms(1, False, now + LONG_S, now + LONG_S)
            queued = work(now)._replace(terms=terms)
            assert await local.wait_for_admission(QueuedRequest(queued), now)
            waiting = asyncio.create_task(
                local.wait_for_admission(QueuedRequest(queued), now)
            )
            await asyncio.sleep(0)
            local.reject_all(local.queue.withdraw_all())
            waiting.cancel()
            await asyncio.wait([waiting])
            running_now = local.queue.running
            local.queue.finish(None)
            await site.router.stop()
            return running_now, local.queue.running

    assert asyncio.run(main()) == (1, 0)
