"""The configuration as written by operators, replaced or patched by items."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from sassafraswharf.routing.validation import find_problem
from sassafraswharf.routing.values import CallerLimits
from sassafraswharf.routing.values import RoutePlan


if TYPE_CHECKING:
    from sassafraswharf.routing.values import Route
    from sassafraswharf.routing.values import RoutedService


class PlanItem(NamedTuple):
    """A named route or service with its source text."""

    name: str
    content: bytes


class PlanChange(NamedTuple):
    """A new whole configuration or a patch of named items.

    ``base_version`` is the version that the change is based on, 0 for the first.
    ``digest`` identifies the content, so that a resent change is recognised.
    Empty ``limits`` in a patch leave the limits unchanged.
    """

    version: int
    base_version: int
    digest: bytes
    is_whole: bool
    routes: tuple[PlanItem, ...] = ()
    services: tuple[PlanItem, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    limits: bytes = b""


class PlanReader(Protocol):
    """Parses the source text of items; the error says why it is invalid."""

    def read_route(self, content: bytes) -> Result[Route, str]:
        """Return a route."""

    def read_service_names(self, content: bytes) -> tuple[str, ...]:
        """Return the services that a route names, also unused ones.

        There are none if the route is invalid.
        """

    def read_service(self, content: bytes) -> Result[RoutedService, str]:
        """Return a service."""

    def read_limits(self, content: bytes) -> Result[CallerLimits, str]:
        """Return the limits for callers."""


class PlanDocument:
    """One version of the configuration; a change returns a new document.

    Items that a change doesn't touch are shared with the previous document, so
    they are neither copied nor, for routes, parsed again.
    """

    def __init__(self, reader: PlanReader) -> None:
        """Start with version 0, which has no routes."""
        self.reader = reader
        self.version = 0
        self.routes: dict[str, bytes] = {}
        self.services: dict[str, bytes] = {}
        self.limits = b""
        self.plan = RoutePlan(0, (), (), CallerLimits())

    def apply(self, change: PlanChange) -> Result[PlanDocument, str]:
        """Return the document after a change, or why the change is invalid."""
        routes = {} if change.is_whole else dict(self.routes)
        services = {} if change.is_whole else dict(self.services)
        for name in change.removed_routes:
            routes.pop(name, None)
        for name in change.removed_services:
            services.pop(name, None)
        routes.update((item.name, item.content) for item in change.routes)
        services.update((item.name, item.content) for item in change.services)
        if len({item.name for item in change.routes}) < len(change.routes):
            return Err("a route is declared twice")
        if len({item.name for item in change.services}) < len(change.services):
            return Err("a service is declared twice")
        changed = PlanDocument(self.reader)
        changed.version = change.version
        changed.routes = routes
        changed.services = services
        changed.limits = change.limits or (b"" if change.is_whole else self.limits)
        plan = self._read_plan(changed)
        if isinstance(plan, Err):
            return plan
        changed.plan = plan.ok_value
        problem = find_problem(changed.plan)
        return Err(problem) if problem else Ok(changed)

    def unknown_services(self, change: PlanChange) -> set[str]:
        """Return the services that changed routes name and that wouldn't exist.

        ``apply`` refuses an unknown service only where a route would use it.
        """
        known = {item.name for item in change.services}
        if not change.is_whole:
            known |= self.services.keys() - set(change.removed_services)
        named = (self.reader.read_service_names(one.content) for one in change.routes)
        return set(chain.from_iterable(named)) - known

    def as_change(self) -> PlanChange:
        """Return the whole document as a change that recreates it."""
        return PlanChange(
            self.version,
            0,
            b"",
            True,
            tuple(PlanItem(*item) for item in self.routes.items()),
            tuple(PlanItem(*item) for item in self.services.items()),
            limits=self.limits,
        )

    def _read_plan(self, changed: PlanDocument) -> Result[RoutePlan, str]:
        """Parse the items, reusing the routes that are unchanged in this document."""
        known_routes = {route.name: route for route in self.plan.routes}
        routes = []
        for name, content in changed.routes.items():
            if self.routes.get(name) == content and name in known_routes:
                routes.append(known_routes[name])
                continue
            route = self.reader.read_route(content)
            if isinstance(route, Err):
                return Err(f"route {name}: {route.err_value}")
            routes.append(route.ok_value)
        services = []
        for name, content in changed.services.items():
            service = self.reader.read_service(content)
            if isinstance(service, Err):
                return Err(f"service {name}: {service.err_value}")
            services.append(service.ok_value)
        limits = CallerLimits()
        if changed.limits:
            read = self.reader.read_limits(changed.limits)
            if isinstance(read, Err):
                return Err(f"limits: {read.err_value}")
            limits = read.ok_value
        return Ok(RoutePlan(changed.version, tuple(routes), tuple(services), limits))
