"""Simulated deployments for the comparison of policies, and their arrivals."""

from __future__ import annotations

import random

from itertools import accumulate
from itertools import count
from typing import NamedTuple

from sassafraswharf.identifiers import ServiceName


WORK_S = 0.05
DEADLINE_S = 1.0
DURATION_S = 40.0
FREEZE_WINDOW_S = (8.0, 12.0)
FALSE_HEALTH_WINDOW_S = (16.0, 22.0)
OVERLOAD_WINDOW_S = (28.0, 38.0)
NORMAL_LOAD = 0.6
OVERLOAD_FACTOR = 1.5
BOOKING_SHARE = 0.25
KEYS = 1000
HOT_SET_LIFETIME_S = 10.0
HEALTH_PERIOD_S = 1.0


class Shape(NamedTuple):
    """A service of a deployment: its endpoints, their slots and connections."""

    deployment: str
    service: ServiceName
    keyed: bool
    speeds: tuple[float, ...]
    slots: int
    connections: int


SHAPES = (
    Shape("comhairle", ServiceName("diary"), True, (1, 1, 2, 3, 4), 10, 130),
    Shape("comhairle", ServiceName("booking"), False, (1, 1, 2, 3, 4), 10, 130),
    Shape("nilebridge", ServiceName("tickets"), True, (1, 1, 2, 4), 20, 110),
    Shape("nilebridge", ServiceName("workshop"), False, (1, 1, 2, 4), 20, 110),
)


class Arrival(NamedTuple):
    """A request as all policies receive it."""

    request_id: int
    at: float
    booking: bool
    work_s: float
    owner: int


def generate_arrivals(shape: Shape, seed: int) -> list[Arrival]:
    """Return the open-loop arrivals of a service, the same for each policy."""
    rng = random.Random(f"{seed}-{shape.deployment}-{shape.service}")
    capacity = sum(shape.speeds) * shape.slots / WORK_S
    owner_of_key = rng.choices(range(len(shape.speeds)), shape.speeds, k=KEYS)
    weights = list(accumulate(1 / (rank + 10) for rank in range(KEYS)))
    arrivals: list[Arrival] = []
    now = 0.0
    for request_id in count():
        overload = OVERLOAD_WINDOW_S[0] <= now < OVERLOAD_WINDOW_S[1]
        rate = capacity * (OVERLOAD_FACTOR if overload else NORMAL_LOAD)
        now += rng.expovariate(rate)
        if now >= DURATION_S:
            return arrivals
        rank = rng.choices(range(KEYS), cum_weights=weights)[0]
        key = (rank + 331 * int(now / HOT_SET_LIFETIME_S)) % KEYS
        booking = rng.random() < BOOKING_SHARE
        work_s = rng.expovariate(1 / WORK_S)
        arrivals.append(Arrival(request_id, now, booking, work_s, owner_of_key[key]))
    return arrivals
