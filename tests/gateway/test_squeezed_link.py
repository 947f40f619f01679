"""A router keeps its lease while long changes come over a squeezed link."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import pytest

from sassafraswharf.clock import BootClock
from tests.gateway.test_narrow_link import LEADER
from tests.gateway.test_narrow_link import PORT
from tests.gateway.test_narrow_link import Leader
from tests.gateway.test_narrow_link import NarrowLink
from tests.gateway.test_narrow_link import first_plan
from tests.gateway.test_narrow_link import grown_plan
from tests.gateway.test_narrow_link import make_router
from tests.gateway.test_narrow_link import wait_for_version


if TYPE_CHECKING:
    from pathlib import Path


WATCHED_S = 5.5
"""Longer than a lease."""


@pytest.mark.parametrize(
    "bytes_per_s",
    [
        pytest.param(43_000, id="a tenth of 3.45 Mbit/s"),
        pytest.param(13_000, id="share of one router of 1,600 on 170 Mbit/s"),
    ],
)
def test_a_part_that_is_too_long_for_a_link_does_not_cost_the_lease(
    bytes_per_s: int, tmp_path: Path
) -> None:
    """Guards against parts that time out again and again, and renew no lease."""

    async def main() -> None:
        clock = BootClock()
        leader = Leader(tmp_path)
        leader.accept(first_plan())
        await leader.server.start(LEADER, PORT)
        link = NarrowLink(bytes_per_s)
        proxy = await link.start()
        router = make_router(clock)
        router.start()
        try:
            await wait_for_version(router, 1)
            leader.accept(grown_plan(1_640))
            until = clock.now() + WATCHED_S
            while clock.now() < until:
                left_s = router.lease_until - clock.now()
                assert left_s > 0, (
                    left_s,
                    router.outcomes,
                    router.plan_receiver.cursor,
                )
                await asyncio.sleep(0.02)
            assert router.view.plan.version == 2 or router.plan_receiver.cursor
        finally:
            await router.stop()
            proxy.close()
            for task in link.tasks:
                task.cancel()
            await leader.server.stop()

    asyncio.run(main())
