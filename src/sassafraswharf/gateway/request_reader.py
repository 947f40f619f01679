"""Parses requests of callers and matches them with routes."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.gateway.message_text import digest_of_beginning
from sassafraswharf.gateway.message_text import encode_chunked
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.gateway.work import Terms
from sassafraswharf.gateway.work import Work
from sassafraswharf.router.headers import end_to_end
from sassafraswharf.routing.traffic_split import TrafficSplit


if TYPE_CHECKING:
    from aiohttp import web

    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.gateway.work import HeaderNames
    from sassafraswharf.routing.values import Route


NO_CONFIGURATION_RETRY_S: Final = 0.1
MAX_CALLER_DEADLINE_S: Final = 600.0
ABSOLUTE_FORM: Final = re.compile(r"https?://([^/?#]*)(.*)", re.IGNORECASE)


class RequestUri(NamedTuple):
    """Authority and path with query of a request, as its caller wrote them."""

    authority: str
    target: str


class Target(NamedTuple):
    """The route of a request, the service that it goes to, and its URI."""

    route: Route
    service: str
    uri: RequestUri


def uri_of(request: web.BaseRequest) -> RequestUri:
    """Return the URI of a request; the absolute form overrides the Host header.

    That form is split, since an upstream is sent the path alone.
    """
    target = request.raw_path
    matched = ABSOLUTE_FORM.fullmatch(target)
    if matched is None:
        return RequestUri(request.headers.get("Host", ""), target)
    authority, rest = matched.groups()
    return RequestUri(authority, rest if rest.startswith("/") else f"/{rest}")


class RequestReader:
    """Finds the route of a request and reads its key, deadline and body.

    ``origin`` is the service of the callers' host.
    """

    def __init__(
        self, origin: str, names: HeaderNames, view: FleetView, offset: float
    ) -> None:
        """Read requests of a host's callers; ``offset`` shifts the traffic split."""
        self.origin = origin
        self.names = names
        self.view = view
        self.split = TrafficSplit(offset)
        self.longest_deadlines: dict[str, float] = {}
        set_here = (names.deadline_ms, names.instance, names.origin, "Host")
        self.excluded = frozenset(name.lower() for name in set_here)

    def find_target(self, request: web.BaseRequest, now: float) -> Target | Rejection:
        """Return the route and service of a request, or why there is none."""
        table = self.view.routes
        if table is None:
            message = "no configuration is known yet"
            code = ResultCode.CONFIGURATION_UNAVAILABLE
            return Rejection(code, message, True, False, NO_CONFIGURATION_RETRY_S)
        uri = uri_of(request)
        host = uri.authority.partition(":")[0]
        path = uri.target.partition("?")[0]
        route = table.find(host, path)
        if route is None:
            message = f"no route for {host} in version {table.version}"
            return self.reject_by_configuration(
                ResultCode.UNKNOWN_SERVICE, message, now
            )
        return Target(route, self.split.choose(route), uri)

    async def read_work(
        self, request: web.BaseRequest, request_id: str, target: Target, now: float
    ) -> Work | Rejection:
        """Return a request with its body, or why it is rejected."""
        route = target.route
        limit = self.view.plan.plan.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            message = f"the body exceeds {limit} bytes"
            return self.reject_by_configuration(ResultCode.BODY_TOO_LARGE, message, now)
        key = self.key_of(request, target.service, now)
        if isinstance(key, Rejection):
            return key
        uri = target.uri
        body, rest = await read_body(request.content)
        return Work(
            request_id,
            request.method,
            uri.target,
            (
                ("Host", uri.authority),
                *(
                    field
                    for field in end_to_end(request.headers.items())
                    if field[0].lower() not in self.excluded
                ),
            ),
            body if rest is None else b"",
            None if rest is None else encode_chunked(body, rest),
            target.service,
            self.origin,
            key,
            route.repeatable,
            self.terms_of(request, route, now),
            digest_of_beginning(body) if rest is not None else b"",
        )

    def reject_by_configuration(
        self, code: ResultCode, message: str, now: float
    ) -> Rejection:
        """Return the rejection of a request that the configuration doesn't allow.

        Callers don't retry such a request, so the configuration must have been
        confirmed as the newest a moment ago. A router that was partitioned or is
        catching up can't know whether a newer one allows the request, so it
        answers with a code that callers retry.
        """
        if self.view.is_plan_confirmed(now):
            return Rejection(code, message, True)
        return Rejection(
            ResultCode.CONFIGURATION_UNAVAILABLE,
            f"{message}, which may be outdated",
            True,
            False,
            NO_CONFIGURATION_RETRY_S,
        )

    def key_of(
        self, request: web.BaseRequest, service: str, now: float
    ) -> int | Rejection | None:
        """Return the key of a request to a service that is sharded by key."""
        routes = self.view.routes
        declared = routes.services.get(service) if routes else None
        if declared is None or not declared.is_keyed:
            return None
        text = request.headers.get(self.names.key, "")
        if not text.isdecimal():
            return self.reject_by_configuration(
                ResultCode.KEY_MISSING, "the key is missing", now
            )
        return int(text)

    def terms_of(self, request: web.BaseRequest, route: Route, now: float) -> Terms:
        """Return priority, latency goal and deadline of a request.

        A caller that retries sends a shorter deadline than others of the route; the
        difference is the time since its first attempt, and is taken off the goal.
        """
        text = request.headers.get(self.names.deadline_ms, "")
        deadline_s = min(
            float(text) / 1000 if text.isdecimal() else route.timeout_s,
            MAX_CALLER_DEADLINE_S,
        )
        full_s = max(self.longest_deadlines.get(route.name, 0.0), deadline_s)
        self.longest_deadlines[route.name] = full_s
        goal_s = route.goal_s - (full_s - deadline_s)
        return Terms(
            route.priority,
            goal_s <= 0,
            now + goal_s,
            now + min(deadline_s, route.timeout_s),
        )
