"""Looks up the route of a request by host name and path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.routing.values import Route
    from sassafraswharf.routing.values import RoutedService
    from sassafraswharf.routing.values import RoutePlan


class RouteTable:
    """An immutable index of the routes of one configuration version.

    The prefixes of the path are looked up from the longest to the shortest, so
    the cost depends on the depth of the path and not on the number of routes.
    Host names are case-insensitive.
    """

    def __init__(self, plan: RoutePlan) -> None:
        """Index the routes by host name and prefix."""
        self.plan = plan
        self.version = plan.version
        self.services: dict[str, RoutedService] = {
            service.name: service for service in plan.services
        }
        self.routes: dict[tuple[str, str], Route] = {
            (route.host.lower(), route.prefix): route for route in plan.routes
        }
        self.names = {route.name: route for route in plan.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if there is one."""
        routes = self.routes
        host = host.lower()
        end = path.rfind("/")
        while end >= 0:
            route = routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
