"""The router process of a host: serves callers, other routers and its upstream."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.daemon.endless_task import run_endlessly
from sassafraswharf.fleet.lease_timing import LeaseTiming
from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.fleet.sync import UpstreamReport
from sassafraswharf.gateway.announcements import Announcements
from sassafraswharf.gateway.call_delivery import CallDelivery
from sassafraswharf.gateway.control_link import ControlLink
from sassafraswharf.gateway.crash_evidence import QUARANTINE_CRASHES
from sassafraswharf.gateway.crash_evidence import CrashEvidence
from sassafraswharf.gateway.fleet_view import FleetView
from sassafraswharf.gateway.heartbeat_delivery import HeartbeatDelivery
from sassafraswharf.gateway.hold_client import HoldClient
from sassafraswharf.gateway.hop_client import HopClient
from sassafraswharf.gateway.hop_server import HopServer
from sassafraswharf.gateway.ingress import Ingress
from sassafraswharf.gateway.key_holds import KeyHolds
from sassafraswharf.gateway.local_upstream import LocalUpstream
from sassafraswharf.gateway.request_reader import RequestReader
from sassafraswharf.gateway.retry_budget import RetryBudget
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.randomness import create_generator
from sassafraswharf.router.http_server import HttpServer


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.sync import Suspect
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.gateway.hold_client import HoldCallFormat
    from sassafraswharf.gateway.hold_delivery import HoldDelivery
    from sassafraswharf.gateway.work import HeaderNames
    from sassafraswharf.observability.decision_log import DecisionLog
    from sassafraswharf.routing.plan_document import PlanReader
    from sassafraswharf.settings.node_schema import Node


MAX_BODY_BYTES: Final = 67_108_864
MAX_HEADER_BYTES: Final = 65_536
"""Minimum limit for request heads of callers; a configuration may raise it."""
HOP_HEADER_BYTES: Final = 4_096
"""Maximum that a router adds to the head of a forwarded request."""
HEADER_TIMEOUT_S: Final = 10.0
HEARTBEATS_PER_HOLD: Final = 2.6
"""A hold outlasts two heartbeat intervals, so that one heartbeat may be lost."""
MIN_HOLD_S: Final = 2.2
CALL_GRANTED_HOLD_S: Final = 3.5
"""A hold granted by a call outlasts a restart of its router."""
SHUTDOWN_DELAY_S: Final = 2.6
"""Callers detect a shutdown within two readiness checks, one per second."""
PEER_DRAIN_S: Final = 0.4
"""Time for which callers are still served once other routers are refused."""
SHUTDOWN_MARGIN_S: Final = 0.6
FINAL_ANSWER_S: Final = 0.1
"""Time to respond to requests that are abandoned at the end of a shutdown."""


class RouterNode:
    """Runs the router of one host."""

    def __init__(
        self,
        node: Node,
        names: HeaderNames,
        plan_reader: PlanReader,
        upstream_address: tuple[str, int] | None,
        clock: Clock,
        log: DecisionLog,
        hold_calls: HoldCallFormat | None = None,
    ) -> None:
        """Create the components; no socket is opened before ``start``.

        With ``hold_calls`` the upstream is granted keys by calls, otherwise in the
        responses to its heartbeats.
        """
        self.node = node
        self.names = names
        self.clock = clock
        self.log = log
        self.boot_id = time.time_ns()
        self.rng = create_generator(node.address)
        timing = LeaseTiming()
        wanted_s = (
            CALL_GRANTED_HOLD_S
            if hold_calls
            else max(MIN_HOLD_S, HEARTBEATS_PER_HOLD * node.terms.heartbeat_s)
        )
        hold_s = min(node.terms.hold_limit_s, timing.lease_s, wanted_s)
        self.holds = KeyHolds(clock.now(), timing.lease_s, hold_s)
        self.view = FleetView(plan_reader, log)
        self.choice = UpstreamChooser(node.zone, self.rng)
        self.hop_client = HopClient(node.first_peer_port, self.choice, clock)
        self.crashes = CrashEvidence()
        self.local: LocalUpstream | None = None
        if upstream_address is not None:
            self.local = LocalUpstream(
                upstream_address,
                names,
                self.holds,
                self.is_owner,
                clock,
                node.terms.drain_s,
                self.crashes,
            )
        self.request_reader = RequestReader(
            self.local_service(), names, self.view, self.rng.random()
        )
        self.ingress = Ingress(
            self.request_reader,
            self.view,
            self.choice,
            self.hop_client,
            self.local,
            self.make_budget,
            self.crashes,
            clock,
            log,
        )
        self.hop_server = HopServer(names, self.local, clock, log)
        self.link = ControlLink(
            tuple(ip for ip, _ in node.seeds),
            node.first_peer_port,
            self.view,
            clock,
            log,
            self.make_report,
            self.on_suspects,
        )
        self.crashes.on_crash = self.on_crash
        self.ingress.refresh = self.link.report_now
        self.delivery = self.create_delivery(hold_calls)
        self.announcements = self.create_announcements()
        self.caller_server = self.create_server(self.ingress)
        self.peer_server = self.create_server(self.hop_server)
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def create_delivery(self, hold_calls: HoldCallFormat | None) -> HoldDelivery | None:
        """Return the component that grants holds to the local upstream, if any."""
        local = self.local
        if local is None:
            return None
        if hold_calls is None:
            return HeartbeatDelivery(
                local, self.view, self.link.lease_end, self.accepts_keys, self.clock
            )
        return CallDelivery(
            local,
            HoldClient(local.pool.address, hold_calls, self.clock),
            self.view,
            self.link.lease_end,
            self.link.report_now,
            self.clock,
            self.log,
        )

    def create_announcements(self) -> Announcements | None:
        """Return the handler of the local upstream's announcements, if any."""
        if self.local is None or self.delivery is None:
            return None
        return Announcements(
            self.local,
            self.delivery,
            self.view,
            self.link.report_now,
            self.local_service,
            self.clock,
            self.log,
        )

    def local_service(self) -> str:
        """Return the service of the local upstream, empty if there is none."""
        return self.node.upstream["service"] if self.node.upstream else ""

    def accepts_keys(self) -> bool:
        """Return whether keys may be granted to the local upstream."""
        return not self.stopping

    def create_server(self, part: Ingress | HopServer) -> HttpServer:
        """Return a server with the limits of this process."""
        return HttpServer(
            part.handle,
            max_body_bytes=MAX_BODY_BYTES,
            max_header_bytes=MAX_HEADER_BYTES,
            header_timeout_s=HEADER_TIMEOUT_S,
            on_malformed=part.on_malformed,
        )

    def make_budget(self) -> RetryBudget:
        """Return a new retry budget for a service."""
        terms = self.node.terms
        budget = RetryBudget(terms.retry_ratio, terms.retry_slack, terms.retry_window_s)
        budget.routers = self.count_routers()
        return budget

    def count_routers(self) -> int:
        """Return the number of routers that share each retry budget."""
        return max(1, len({one.router for one in self.view.fleet.upstreams.values()}))

    async def start(self, caller_address: tuple[str, int]) -> None:
        """Open all sockets and start; raises ``TransportError``."""
        await self.peer_server.start(self.node.address, self.node.first_peer_port)
        await self.caller_server.start(*caller_address)
        self.link.start()
        if self.delivery is not None:
            self.delivery.start()
        self.tasks = [asyncio.create_task(run_endlessly("fleet", self.follow_fleet))]

    async def stop(self) -> None:
        """Complete requests in flight, then close everything.

        Callers and other routers are served until they have had time to detect the
        shutdown; each connection is closed with a response.
        """
        began = self.clock.now()
        self.stopping = True
        self.ingress.closing = True
        self.hop_server.closing = True
        # The leader moves the keys while this process can still serve them.
        self.link.report_now()
        self.log.record("stopping")
        await asyncio.sleep(min(SHUTDOWN_DELAY_S, self.node.terms.grace_s / 2))
        self.hop_server.refusing = True
        # The upstream sends calls through this router for requests that it still runs.
        await self.peer_server.drain(PEER_DRAIN_S)
        self.ingress.refusing = True
        end_at = began + self.node.terms.grace_s - SHUTDOWN_MARGIN_S
        left_s = max(0.0, end_at - self.clock.now())
        loop = asyncio.get_running_loop()
        give_up_timer = loop.call_later(left_s - FINAL_ANSWER_S, self.give_up)
        await asyncio.gather(
            self.caller_server.stop_gracefully(left_s),
            self.peer_server.stop_gracefully(left_s),
        )
        give_up_timer.cancel()
        for task in self.tasks:
            task.cancel()
        if self.delivery is not None:
            await self.delivery.stop()
        await self.link.stop()
        await self.caller_server.stop()
        await self.peer_server.stop()
        self.hop_client.close()
        self.log.record("stopped")

    def give_up(self) -> None:
        """Respond to all unfinished requests; queued ones are refused as not run."""
        if self.local is not None:
            self.local.give_up()
        self.ingress.give_up()

    def on_settings(self, node: Node) -> None:
        """Apply changed settings: the seeds and the service of the upstream."""
        self.node = node
        self.link.seeds = tuple(ip for ip, _ in node.seeds)
        self.request_reader.origin = self.local_service()

    def is_ready(self) -> bool:
        """Return whether callers may send requests to this process."""
        return (
            not self.stopping
            and self.view.routes is not None
            and self.view.fleet.version > 0
        )

    async def follow_fleet(self) -> None:
        """Apply configured limits; drop the state of hosts that left the fleet."""
        while True:
            upstreams = self.view.fleet.upstreams
            self.follow_limits()
            if self.announcements is not None:
                self.announcements.follow_fleet(self.node.host)
            self.choice.keep_only(set(upstreams))
            self.hop_client.keep_only({one.router for one in upstreams.values()})
            routers = self.count_routers()
            for budget in self.ingress.retry_budgets.values():
                budget.routers = routers
            await self.view.changed.wait(1.0)

    def follow_limits(self) -> None:
        """Apply the configured limit on request heads.

        Forwarded requests also carry the header that routers add.
        """
        configured = self.view.plan.plan.limits.max_header_bytes
        self.caller_server.max_header_bytes = max(MAX_HEADER_BYTES, configured)
        self.peer_server.max_header_bytes = (
            self.caller_server.max_header_bytes + HOP_HEADER_BYTES
        )

    # The local upstream.

    def is_owner(self, service: str, key: int, instance: Instance) -> bool:
        """Return whether the fleet assigns a key to an upstream."""
        row = self.view.fleet.row_of(service, key)
        return row is not None and row.owner == instance and not row.is_moving

    def on_crash(self, instance: Instance, lost: int) -> None:
        """Report a crash of the upstream at once, so that its keys get a new owner."""
        self.log.record("upstream_ended", upstream=instance.name, lost=lost)
        self.link.report_now()

    def on_suspects(self, suspects: tuple[Suspect, ...]) -> None:
        """Apply the list of requests that have crashed upstreams."""
        self.crashes.take_suspects(suspects)
        refused = [one for one in suspects if one.crashes >= QUARANTINE_CRASHES]
        self.log.record("suspects", requests=len(suspects), refused=len(refused))

    def make_report(self, long_poll_s: float, sequence: int) -> SyncRequest:
        """Return a report for the leader."""
        local = self.local
        return SyncRequest(
            self.node.host,
            self.node.address,
            self.node.zone,
            self.boot_id,
            sequence,
            self.view.plan.version,
            self.view.fleet.version,
            long_poll_s,
            # Without a table the router doesn't know yet whether the upstream drains.
            self.report_upstream(local) if local and self.link.has_table else None,
            tuple(local.ended_instances) if local else (),
            *self.crashes.report(self.clock.now()),
            self.crashes.checksum,
            self.link.plan_receiver.cursor,
            self.link.fleet_receiver.cursor,
            # An urgent report would fetch the same part as the concurrent long poll.
            takes_plan=long_poll_s > 0,
            part_bytes=self.link.part_bytes,
        )

    def report_upstream(self, local: LocalUpstream) -> UpstreamReport | None:
        """Return the local upstream's state, ``None`` before its first heartbeat."""
        beat = local.beat
        if beat is None:
            return None
        now = self.clock.now()
        load = local.load.take_report()
        return UpstreamReport(
            beat.instance,
            beat.service,
            beat.slots,
            beat.draining,
            now - local.beat_at,
            self.holds.held(now),
            self.holds.released_rows(),
            self.holds.earlier_holds_ended(now),
            load.busy_slots,
            local.queue.service_s,
            load.requests,
            load.keys,
            self.stopping,
            self.delivery.refused_rows() if self.delivery else (),
        )
