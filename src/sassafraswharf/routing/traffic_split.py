"""Splits the requests of a route between its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.routing.values import Route
    from sassafraswharf.routing.values import RouteTarget


class TrafficSplit:
    """Smooth weighted round robin per route.

    Each request adds the weight of every target to its credit, and subtracts the
    sum of the weights from the chosen target. The share of a target differs from
    its weight by less than one request per router, also in small samples, where
    random selection would deviate more.
    """

    def __init__(self, offset: float = 0.0) -> None:
        """Start with no credit.

        ``offset`` from 0 to 1 shifts the sequence, so that routers that start
        together don't choose the same targets in step.
        """
        self.offset = offset
        self.credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        total = sum(target.weight for target in targets)
        route_credits = self.credits.get(route.name)
        if route_credits is None or route_credits.keys() != {
            one.service for one in targets
        }:
            route_credits = self._initial_credits(targets, total)
            self.credits[route.name] = route_credits
        for target in targets:
            route_credits[target.service] += target.weight
        chosen = max(targets, key=lambda one: (route_credits[one.service], one.weight))
        route_credits[chosen.service] -= total
        return chosen.service

    def _initial_credits(
        self, targets: tuple[RouteTarget, ...], total: float
    ) -> dict[str, float]:
        route_credits = {target.service: 0.0 for target in targets}
        ordered = sorted(targets, key=lambda one: one.weight)
        shift = self.offset * total
        route_credits[ordered[0].service] += shift
        route_credits[ordered[-1].service] -= shift
        return route_credits
