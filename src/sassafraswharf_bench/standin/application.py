"""HTTP application of the stand-in: control endpoints and request routing."""

from __future__ import annotations

import asyncio
import json
import time

from typing import TYPE_CHECKING

from aiohttp import web

from sassafraswharf_bench.standin.behaviour import with_changes


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf_bench.standin.upstream import Upstream


MAX_BODY_BYTES = 4 * 1_048_576
FREEZE_DELAY_S = 0.01


class ControlEndpoints:
    """The endpoints below ``/-/``."""

    def __init__(
        self, upstream: Upstream, freeze: Callable[[float], None] = time.sleep
    ) -> None:
        self.upstream = upstream
        self.freeze = freeze

    async def grant(self, request: web.Request) -> web.Response:
        """Record a grant; 400 if malformed, 409 if it is older than a known one."""
        try:
            stale = self.upstream.grants.accept(
                json.loads(await request.read()), self.upstream.now()
            )
        except ValueError as error:
            return web.json_response({"message": str(error)}, status=400)
        return web.json_response({"stale_slots": stale}, status=409 if stale else 200)

    async def drain(self, _request: web.Request) -> web.Response:
        """Start draining; idempotent."""
        if self.upstream.draining_since is None:
            self.upstream.draining_since = self.upstream.now()
        return web.json_response({"in_flight": self.upstream.in_flight})

    async def health(self, _request: web.Request) -> web.Response:
        """Report health and load as ``behaviour.health`` selects."""
        behaviour = self.upstream.behaviour
        claim = behaviour.health
        load = self.upstream.in_flight / behaviour.slots
        if claim != "truthful":
            load = 1.0 if claim == "sick" else 0.0
        healthy = self.upstream.draining_since is None
        if claim != "truthful":
            healthy = claim != "sick"
        return web.json_response(
            {"healthy": healthy, "load": load}, status=200 if healthy else 503
        )

    async def runs(self, _request: web.Request) -> web.Response:
        """Report how often each idempotency key has run."""
        return web.json_response(self.upstream.ledger.counts())

    async def state(self, _request: web.Request) -> web.Response:
        """Report counters and the number of keys and granted slots."""
        upstream = self.upstream
        return web.json_response(
            {
                "behaviour": upstream.behaviour._asdict(),
                "identity": upstream.identity._asdict(),
                "counts": dict(upstream.counts),
                "in_flight": upstream.in_flight,
                "draining": upstream.draining_since is not None,
                "keys": upstream.ledger.keys,
                "granted_slots": sum(g.owned for g in upstream.grants.slots.values()),
            }
        )

    async def behaviour(self, request: web.Request) -> web.Response:
        """Change the behaviour; ``freeze_s`` blocks the whole process once."""
        try:
            change = dict(json.loads(await request.read()))
            freeze_s = float(change.pop("freeze_s", 0.0))
            self.upstream.behaviour = with_changes(self.upstream.behaviour, change)
        except (ValueError, TypeError) as error:
            return web.json_response({"message": str(error)}, status=400)
        if freeze_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(FREEZE_DELAY_S, self.freeze, freeze_s)
        return web.json_response(self.upstream.behaviour._asdict())


def build_application(
    upstream: Upstream, freeze: Callable[[float], None] = time.sleep
) -> web.Application:
    """Return the application of one upstream.

    ``freeze`` blocks the event loop for a number of seconds, like SIGSTOP.
    """
    endpoints = ControlEndpoints(upstream, freeze)
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application.router.add_post("/-/grant", endpoints.grant)
    application.router.add_post("/-/drain", endpoints.drain)
    application.router.add_get("/-/health", endpoints.health)
    application.router.add_get("/-/runs", endpoints.runs)
    application.router.add_get("/-/state", endpoints.state)
    application.router.add_post("/-/behaviour", endpoints.behaviour)
    application.router.add_route("*", "/{path:.*}", upstream.handle)
    return application
