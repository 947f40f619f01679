"""Simulation of zone-aware upstream choice for the requests of one zone."""

from __future__ import annotations

import random

from typing import Final
from typing import NamedTuple

from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.gateway.work import LoadHint


ZONES: Final = ("a", "b", "c")
UPSTREAMS_PER_ZONE: Final = 2
SLOTS: Final = 10
SERVICE_S: Final = 0.06
REQUESTS: Final = 2_000
NOW: Final = 10.0


class Shares(NamedTuple):
    """Shares of the requests that stay in their zone and that meet a full upstream."""

    near: float
    full: float


def shares(near_running: int, far_running: int) -> Shares:
    """Return the shares for the given number of requests in flight per upstream."""
    choice = UpstreamChooser(ZONES[0], random.Random(1))
    upstreams = [
        Upstream(Instance(f"{zone}{number}", 1), "s", zone, zone, zone, SLOTS, False)
        for zone in ZONES
        for number in range(UPSTREAMS_PER_ZONE)
    ]
    running = {
        one.instance: near_running if one.zone == ZONES[0] else far_running
        for one in upstreams
    }
    for one in upstreams:
        choice.stats_of(one)
        hint = LoadHint(running[one.instance], 0, SLOTS, SERVICE_S)
        choice.on_hint(one.instance, hint, NOW)
    near = full = 0
    for _ in range(REQUESTS):
        chosen = choice.choose(upstreams, set(), NOW)
        if chosen is None:
            continue
        near += chosen.zone == ZONES[0]
        full += running[chosen.instance] >= SLOTS
    return Shares(near / REQUESTS, full / REQUESTS)
