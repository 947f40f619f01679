"""Configurable behaviour of the stand-in and its service time distribution."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    import random

    from collections.abc import Mapping


DISTRIBUTIONS = ("fixed", "exponential", "lognormal")
HEALTH_CLAIMS = ("truthful", "healthy", "sick", "idle")
LOGNORMAL_SIGMA = 0.8


class Behaviour(NamedTuple):
    """Settings of the stand-in; every field can be changed while it runs.

    ``service_ms`` is the mean service time at speed 1. Within ``cold_s`` of the
    start service times are multiplied by ``cold_factor``. ``health`` selects
    what ``/-/health`` claims: the truth, always healthy, always sick, or
    healthy with no load. With ``fails`` every answer is truncated. With ``shed``
    off, requests beyond the slots run anyway and all slow down in proportion.
    """

    service_ms: float = 5.0
    distribution: str = "exponential"
    speed: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    slots: int = 10
    shed: bool = True
    checks_grants: bool = True
    checks_validity: bool = False
    honours_cancellation: bool = True
    honours_deadlines: bool = True
    health: str = "truthful"
    announces: bool = True
    fails: bool = False


def with_changes(behaviour: Behaviour, change: Mapping[str, Any]) -> Behaviour:
    """Return the behaviour with the fields of ``change`` replaced.

    Raise ValueError for an unknown field, a wrong type or a value that is out
    of range.
    """
    values: dict[str, Any] = {}
    for name, value in change.items():
        if name not in Behaviour._fields:
            raise ValueError(f"unknown field {name}")
        expected = type(getattr(behaviour, name))
        numeric = expected is float and type(value) is int
        if type(value) is not expected and not numeric:
            raise ValueError(f"{name} must be of type {expected.__name__}")
        values[name] = float(value) if numeric else value
    new = behaviour._replace(**values)
    if new.distribution not in DISTRIBUTIONS or new.health not in HEALTH_CLAIMS:
        raise ValueError("distribution or health has an unknown value")
    if new.speed <= 0 or new.slots < 1 or new.service_ms < 0 or new.cold_factor < 1:
        raise ValueError("speed, slots, service_ms or cold_factor is out of range")
    return new


def service_time_s(
    behaviour: Behaviour, up_for_s: float, in_flight: int, rng: random.Random
) -> float:
    """Draw the service time of one request in seconds."""
    mean = behaviour.service_ms / 1000 / behaviour.speed
    if up_for_s < behaviour.cold_s:
        mean *= behaviour.cold_factor
    mean *= max(1.0, in_flight / behaviour.slots)
    if mean == 0 or behaviour.distribution == "fixed":
        return mean
    if behaviour.distribution == "exponential":
        return rng.expovariate(1 / mean)
    mu = math.log(mean) - LOGNORMAL_SIGMA**2 / 2
    return rng.lognormvariate(mu, LOGNORMAL_SIGMA)
