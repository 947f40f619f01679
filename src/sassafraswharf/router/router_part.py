"""Assembles the router components of a process and handles their HTTP endpoints."""

from __future__ import annotations

import asyncio
import ipaddress

from typing import TYPE_CHECKING
from typing import Final

from absl import logging
from aiohttp import web
from result import Err

from sassafraswharf.cell.commands import OpenSession
from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.leases.holder import LeaseHolder
from sassafraswharf.leases.messages import LeaseTiming
from sassafraswharf.randomness import create_generator
from sassafraswharf.requests.outcome import OUTCOMES
from sassafraswharf.requests.outcome import ExchangeResult
from sassafraswharf.requests.upstream_choice import UpstreamChoice
from sassafraswharf.router import headers
from sassafraswharf.router import router_metrics
from sassafraswharf.router.announcement import MAX_ANNOUNCEMENT_BYTES
from sassafraswharf.router.announcement import read_announcement
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.answers import to_response
from sassafraswharf.router.control_link import ControlLink
from sassafraswharf.router.crash_detector import CrashDetector
from sassafraswharf.router.http_server import HttpServer
from sassafraswharf.router.incoming import RequestIds
from sassafraswharf.router.journal_coordinator import JOURNAL_PATH
from sassafraswharf.router.journal_coordinator import JournalCoordinator
from sassafraswharf.router.journal_slots import JournalSlots
from sassafraswharf.router.latency import LatencyHistogram
from sassafraswharf.router.load_meter import LoadMeter
from sassafraswharf.router.local_service import LocalService
from sassafraswharf.router.local_upstreams import LocalUpstreams
from sassafraswharf.router.peer_routers import PeerRouters
from sassafraswharf.router.request_reader import RequestReader
from sassafraswharf.router.request_reader import read_body
from sassafraswharf.router.request_router import Attempt
from sassafraswharf.router.request_router import RequestRouter
from sassafraswharf.router.view import RouterView
from sassafraswharf.transport.request_signer import RequestSigner


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.observability.metrics import Metrics
    from sassafraswharf.router.incoming import IncomingRequest
    from sassafraswharf.settings.schema import Settings
    from sassafraswharf.transport.datagrams import DatagramEndpoint
    from sassafraswharf.transport.mailbox import Mailbox


ANNOUNCEMENT_TIMEOUT_S: Final = 2.0
DRAIN_TIMEOUT_S: Final = 30.0
PEER_CLEANUP_INTERVAL_S: Final = 10.0
JOURNAL_TIMEOUT_S: Final = 2.0
MAX_JOURNAL_BYTES: Final = 32 * 1_048_576
LOCAL_PREFIX: Final = "/-/"


class RouterPart:
    """Serves callers, forwards to other routers and runs the local upstreams."""

    def __init__(
        self,
        settings: Settings,
        key: bytes,
        incarnation: int,
        mailbox: Mailbox,
        datagrams: DatagramEndpoint,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Wire the components together; nothing runs before ``start``."""
        bind = settings["bind"]
        host = HostId(settings["host"])
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.view = RouterView()
        self.holder = LeaseHolder(host, LeaseTiming())
        self.signer = RequestSigner(host, key, incarnation)
        self.request_ids = RequestIds(host, key)
        opening = OpenSession(
            host,
            incarnation,
            settings["zone"],
            f"{bind['address']}:{bind['public_port']}",
            f"{bind['address']}:{bind['internal_port']}",
            f"{bind['address']}:{bind['lease_port']}",
            f"{bind['address']}:{bind['control_port']}",
        )
        self.control_link = ControlLink(
            opening,
            settings["cell"],
            settings["control_hosts"],
            self.holder,
            self.view,
            mailbox,
            datagrams,
            clock,
            lambda: self.meter.report(clock.now()),
        )
        self.peer_routers = PeerRouters(self.signer)
        self.journal_coordinator = JournalCoordinator(
            self.view, self.holder, self.peer_routers, clock
        )
        self.crash_detector = CrashDetector(self.view, clock, self.control_link.commit)
        self.local_service = LocalService(
            host,
            opening.public_address,
            self.view,
            self.holder,
            clock,
            self.request_ids,
            self.journal_coordinator,
            self.crash_detector,
            self.control_link.refresh,
        )
        self.meter = LoadMeter(self.local_service.runners)
        self.local_upstreams = LocalUpstreams(
            self.view, self.control_link, self.local_service, clock
        )
        self.local_upstreams.journal_slots = JournalSlots(
            self.view,
            self.holder,
            self.journal_coordinator,
            clock,
            self.local_upstreams.propose,
        )
        self.request_router = RequestRouter(
            self.view,
            self.local_service,
            self.peer_routers,
            UpstreamChoice(),
            clock,
            create_generator(host),
        )
        self.reader = RequestReader(self.view, self.request_ids, self.signer, clock)
        limits = settings["router"]
        self.public = HttpServer(
            self.on_public,
            max_body_bytes=limits["max_body_bytes"],
            max_header_bytes=limits["max_header_bytes"],
            header_timeout_s=limits["header_timeout_s"],
        )
        self.internal = HttpServer(
            self.on_internal,
            max_body_bytes=max(limits["max_body_bytes"], MAX_JOURNAL_BYTES),
            max_header_bytes=2 * limits["max_header_bytes"],
            header_timeout_s=limits["header_timeout_s"],
        )
        self.cleanup_task: asyncio.Task[None] | None = None
        self.latency = LatencyHistogram()
        router_metrics.declare(metrics, self, self.latency)
        self.request_router.on_retry = lambda reason: metrics.add(
            router_metrics.RETRIES, reason
        )

    async def start(self) -> None:
        """Listen and join the cell.

        Raises ``TransportError`` if a port can't be bound.
        """
        bind = self.settings["bind"]
        await self.internal.start(bind["address"], bind["internal_port"])
        await self.public.start(bind["address"], bind["public_port"])
        self.control_link.start()
        self.journal_coordinator.start()
        self.local_upstreams.start()
        self.cleanup_task = asyncio.create_task(self.close_unused_connections())

    async def stop(self) -> None:
        """Complete all requests in flight, then release the lease.

        The lease is kept until the last request has ended. Closing the session then
        lets the slots move at once instead of after the lease has expired.
        """
        self.local_service.stopping = True
        await self.public.stop_accepting()
        finished = await self.public.drain(DRAIN_TIMEOUT_S)
        finished = await self.internal.drain(DRAIN_TIMEOUT_S) and finished
        finished = await self.journal_coordinator.drain(DRAIN_TIMEOUT_S) and finished
        if not finished:
            logging.warning("requests were still in flight after %s s", DRAIN_TIMEOUT_S)
        if self.cleanup_task is not None:
            self.cleanup_task.cancel()
        await self.control_link.stop()
        await self.local_upstreams.stop()
        await self.crash_detector.stop()
        await self.journal_coordinator.stop()
        await self.public.stop()
        await self.internal.stop()
        await self.peer_routers.close()

    async def close_unused_connections(self) -> None:
        """Close connections to routers without a session, until cancelled."""
        while True:
            await asyncio.sleep(PEER_CLEANUP_INTERVAL_S)
            sessions = self.view.sessions.values()
            await self.peer_routers.retain([item.internal_address for item in sessions])

    async def on_public(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request to the public port: from a caller or a local upstream."""
        if request.path.startswith(LOCAL_PREFIX):
            return await self.on_local(request)
        incoming = await self.reader.read(request, hop=False)
        if isinstance(incoming, Err):
            answer, owner = refusal(incoming.err_value), ""
        else:
            attempt = await self.serve(incoming.ok_value)
            answer, owner = attempt.answer, attempt.owner_address
            self.count_latency(incoming.ok_value)
        self.metrics.add(router_metrics.REQUESTS, str(int(answer.code)))
        return to_response(answer, owner, close=self.local_service.stopping)

    def count_latency(self, request: IncomingRequest) -> None:
        """Record in the latency histogram how long the caller waited."""
        classification = request.classification
        kind = "lookup" if classification.repeatable else "at_most_once"
        waited_s = self.clock.now() - request.arrived_at
        self.latency.record(classification.service, kind, waited_s)

    async def serve(self, request: IncomingRequest) -> Attempt:
        """Serve a request; an unexpected exception is answered as outcome unknown."""
        try:
            return await self.request_router.serve(request)
        except Exception:
            logging.exception("request %d failed", request.request_id)
            failure = Failure(ResultCode.OUTCOME_UNKNOWN, "the router failed")
            return Attempt(refusal(failure), OUTCOMES[ExchangeResult.CONNECTION_LOST])

    async def on_internal(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request to the internal port: forwarded, or journal records."""
        if request.path == JOURNAL_PATH:
            return await self.on_journal(request)
        incoming = await self.reader.read(request, hop=True)
        if isinstance(incoming, Err):
            return to_response(refusal(incoming.err_value), "", close=False)
        sender = self.reader.authenticate(request, incoming.ok_value.body)
        if isinstance(sender, Err):
            return to_response(refusal(sender.err_value), "", close=True)
        upstream = UpstreamId(request.headers.get(headers.UPSTREAM, ""))
        result = await self.request_router.serve_hop(incoming.ok_value, upstream)
        response = to_response(result.answer, "", close=self.local_service.stopping)
        if result.crashed:
            response.headers[headers.UPSTREAM] = headers.CRASHED
        elif result.upstream_failed:
            response.headers[headers.UPSTREAM] = headers.FAILED
        return response

    async def on_journal(self, request: web.BaseRequest) -> web.StreamResponse:
        """Apply a batch of journal records from another router."""
        body = await read_body(request, MAX_JOURNAL_BYTES, JOURNAL_TIMEOUT_S)
        if isinstance(body, Err):
            return to_response(refusal(body.err_value), "", close=True)
        sender = self.reader.authenticate(request, body.ok_value)
        if isinstance(sender, Err):
            return to_response(refusal(sender.err_value), "", close=True)
        reply = self.journal_coordinator.handle_batch(body.ok_value)
        if isinstance(reply, Failure):
            return to_response(refusal(reply), "", close=True)
        return web.Response(body=reply)

    async def on_local(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle the endpoints of the router itself (``/-/``)."""
        if request.path == "/-/announce" and request.method == "POST":
            return await self.on_announce(request)
        if request.path == "/-/health":
            return self.on_health()
        if request.path == "/-/owner":
            return self.on_owner(request)
        failure = Failure(ResultCode.UNKNOWN_OPERATION, f"no endpoint {request.path}")
        return to_response(refusal(failure), "", close=False)

    async def on_announce(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle the announcement of a local upstream."""
        body = await read_body(request, MAX_ANNOUNCEMENT_BYTES, ANNOUNCEMENT_TIMEOUT_S)
        if isinstance(body, Err):
            return to_response(refusal(body.err_value), "", close=True)
        announcement = read_announcement(body.ok_value)
        if isinstance(announcement, Err):
            return to_response(refusal(announcement.err_value), "", close=False)
        if not self.is_local(request.remote, announcement.ok_value["address"]):
            failure = Failure(
                ResultCode.MESSAGE_UNAUTHENTICATED,
                "an upstream announces itself from the host of its router",
            )
            return to_response(refusal(failure), "", close=True)
        self.local_upstreams.announce(announcement.ok_value)
        upstream = UpstreamId(announcement.ok_value["upstream"])
        known = self.view.upstreams.get(upstream)
        state = "unknown" if known is None else known.state.name.lower()
        left = self.local_upstreams.has_left(upstream)
        return web.json_response({"code": 0, "state": state, "left": left})

    def is_local(self, remote: str | None, address: str) -> bool:
        """Return whether an announcement comes from this host and names its address.

        Callers reach the same port and must not be able to register an upstream.
        """
        own = ipaddress.ip_address(self.settings["bind"]["address"])
        named = address.rpartition(":")[0].strip("[]")
        for text in (remote or "", named):
            try:
                found = ipaddress.ip_address(text)
            except ValueError:
                return False
            if found != own and not found.is_loopback:
                return False
        return True

    def on_health(self) -> web.StreamResponse:
        """Report whether this router can serve callers: 200, or 503 if it can't."""
        valid = (
            self.holder.is_valid(self.clock.now()) and not self.local_service.stopping
        )
        body = {"live": valid, "revision": self.view.revision}
        return web.json_response(body, status=200 if valid else 503)

    def on_owner(self, request: web.BaseRequest) -> web.StreamResponse:
        """Tell a caller which router is on the host that owns a key."""
        service = request.query.get("service", "")
        table = {str(name): item for name, item in self.view.tables.items()}.get(
            service
        )
        if table is None:
            failure = Failure(ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
            return to_response(refusal(failure), "", close=False)
        owner = table.owner_of(request.query.get("key", ""))
        session = self.view.sessions.get(owner.session)
        address = None if session is None else f"http://{session.public_address}"
        return web.json_response(
            {"slot": owner.slot, "epoch": owner.epoch, "owner": address}
        )

    def describe(self) -> dict[str, object]:
        """Return the state of this router as shown on the admin port."""
        now = self.clock.now()
        return {
            "host": self.settings["host"],
            "session": self.holder.session,
            "lease_remaining_s": max(0.0, self.holder.expires_at - now)
            if self.holder.session
            else 0.0,
            "revision": self.view.revision,
            "table_version": self.view.version,
            "upstreams": {
                name: {
                    "running": len(runner.running),
                    "waiting": len(runner.admission.waiting),
                    "limit": runner.admission.limit.limit,
                }
                for name, runner in self.local_service.runners.items()
            },
        }
