"""A router keeps its lease during long transfers on a severely limited link."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import pytest

from tests.gateway.test_narrow_link import plan_with_added_routes
from tests.gateway.test_narrow_link import router_behind_proxy


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
    """Guards against parts that time out repeatedly and never renew the lease."""

    async def main() -> None:
        async with router_behind_proxy(tmp_path, bytes_per_s) as (leader, router):
            leader.accept(plan_with_added_routes(1_640))
            until = router.clock.now() + WATCHED_S
            while (now := router.clock.now()) < until:
                left_s = router.lease_until - now
                assert left_s > 0, (router.outcomes, router.plan_receiver.cursor)
                await asyncio.sleep(0.02)
            assert router.view.plan.version == 2 or router.plan_receiver.cursor

    asyncio.run(main())
