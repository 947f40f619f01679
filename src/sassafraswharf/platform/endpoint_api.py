"""HTTP handlers of a router for its endpoint and the provider's readiness check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from result import Err

from sassafraswharf.platform import names
from sassafraswharf.platform.heartbeats import decode_heartbeat
from sassafraswharf.platform.heartbeats import decode_leave
from sassafraswharf.platform.heartbeats import encode_grant


if TYPE_CHECKING:
    from sassafraswharf.gateway.announcements import Announcements
    from sassafraswharf.gateway.router_node import RouterNode
    from sassafraswharf.observability.decision_log import DecisionLog


JSON = "application/json"


class EndpointApi:
    """Handles heartbeats, deregistrations and readiness checks."""

    def __init__(self, router: RouterNode, log: DecisionLog) -> None:
        """Serve the requests of one router."""
        self.router = router
        self.log = log

    async def handle_control(self, request: web.BaseRequest) -> web.Response:
        """Handle a heartbeat or a deregistration."""
        path = request.raw_path
        body = await request.read()
        announcements = self.router.announcements
        if announcements is None:
            return web.Response(status=404)
        if path.startswith(names.HEARTBEAT_PATH):
            endpoint_id = path.removeprefix(names.HEARTBEAT_PATH)
            return await self.handle_heartbeat(announcements, endpoint_id, body)
        if path.startswith(names.LEAVE_PATH):
            endpoint_id = path.removeprefix(names.LEAVE_PATH)
            known = await announcements.on_leave(decode_leave(endpoint_id, body))
            status = 200 if known else 503
            return web.Response(status=status, body=b"{}", content_type=JSON)
        return web.Response(status=404)

    async def handle_heartbeat(
        self, announcements: Announcements, endpoint_id: str, body: bytes
    ) -> web.Response:
        """Forward a heartbeat to the router and respond with the grant."""
        beat = decode_heartbeat(endpoint_id, body)
        if isinstance(beat, Err):
            self.log.record("heartbeat_unreadable", why=beat.err_value)
            return web.Response(status=400, text=beat.err_value)
        grant = await announcements.on_heartbeat(beat.ok_value)
        return web.Response(body=encode_grant(grant), content_type=JSON)

    async def handle_readiness(self, request: web.BaseRequest) -> web.Response:
        """Answer the provider's readiness check."""
        if request.raw_path != names.READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.router.is_ready() else 503)
