"""Validates a route plan before it is accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafraswharf.routing.values import Route
    from sassafraswharf.routing.values import RoutePlan


MAX_TIMEOUT_S = 600.0
MAX_WEIGHT = 1e12
"""The sums of a weighted round robin are exact up to about 2**53."""


def find_problem(plan: RoutePlan) -> str:
    """Return the first reason to refuse a plan, or an empty string."""
    return next(_problems(plan), "")


def _problems(plan: RoutePlan) -> Iterator[str]:
    services = [service.name for service in plan.services]
    names = [route.name for route in plan.routes]
    yield from _repeated("service", services)
    yield from _repeated("route", names)
    places: dict[tuple[str, str], str] = {}
    known = set(services)
    for route in plan.routes:
        yield from _problems_of_route(route, known)
        place = (route.host.lower(), route.prefix)
        if place in places:
            yield f"route {route.name}: the same place as {places[place]}"
        places[place] = route.name


def _repeated(kind: str, names: list[str]) -> Iterator[str]:
    seen = set()
    for name in names:
        if name in seen:
            yield f"{kind} {name}: declared twice"
        seen.add(name)


def _problems_of_route(route: Route, services: set[str]) -> Iterator[str]:
    subject = f"route {route.name}"
    if not route.prefix.startswith("/"):
        yield f"{subject}: the prefix {route.prefix!r} does not begin with a slash"
    if not route.prefix.endswith("/"):
        yield f"{subject}: the prefix {route.prefix!r} does not end with a slash"
    if not 0 < route.timeout_s <= MAX_TIMEOUT_S:
        yield f"{subject}: the timeout of {route.timeout_s} s is out of range"
    if any(target.weight < 0 for target in route.targets):
        yield f"{subject}: a weight is negative"
    if any(target.weight > MAX_WEIGHT for target in route.targets):
        yield f"{subject}: a weight is above {MAX_WEIGHT:.0f}"
    if sum(target.weight for target in route.targets) <= 0:
        yield f"{subject}: the weights add up to 0"
    for target in route.targets:
        if target.service not in services:
            yield f"{subject}: there is no service {target.service!r}"
    if route.attempts < 1:
        yield f"{subject}: attempts must be at least 1"
