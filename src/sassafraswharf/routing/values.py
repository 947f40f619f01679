"""Routes, services and limits of a configuration."""

from __future__ import annotations

from typing import NamedTuple


class RouteTarget(NamedTuple):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The targets and limits of requests for a host name and path prefix.

    ``targets`` has at least one entry. ``timeout_s`` is the longest time
    that a caller waits, ``goal_s`` the target latency. ``repeatable`` requests may
    be sent again. ``priority`` 0 is the most urgent. ``attempts`` is the number of
    upstreams that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    goal_s: float
    priority: int
    attempts: int
    targets: tuple[RouteTarget, ...]


class RoutedService(NamedTuple):
    """A service that routes refer to; ``warm_up_s`` is the time to load a cold key."""

    name: str
    health_path: str
    max_connections: int
    is_keyed: bool
    warm_up_s: float


class CallerLimits(NamedTuple):
    """Size limits and timeouts of a caller's connection and requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutePlan(NamedTuple):
    """All routes and services of one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits
