"""Routes, services and limits of a configuration."""

from __future__ import annotations

from typing import NamedTuple


class RouteTarget(NamedTuple):
    """A service that serves a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host name and path prefix go, and under which terms.

    ``targets`` has at least one entry. ``timeout_s`` is the longest time that a
    caller is kept waiting, ``goal_s`` the time within which an answer is worth
    most. ``priority`` 0 is the most urgent. ``attempts`` is the number of
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
    """A service that routes refer to; ``warm_up_s`` is the cost of a cold key."""

    name: str
    health_path: str
    max_connections: int
    is_keyed: bool
    warm_up_s: float


class CallerLimits(NamedTuple):
    """What a caller may send, in bytes, and how long it may take, in seconds."""

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
