"""A control host: a replica of the fleet's log that serves routers."""

from __future__ import annotations

import asyncio
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

import msgspec

from aiohttp import web
from result import Err

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.core import MembershipPolicy
from sassafraswharf.consensus.group_task import GroupTask
from sassafraswharf.consensus.messages import decode_message
from sassafraswharf.consensus.messages import encode_message
from sassafraswharf.consensus.timing import ReplicaTiming
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.daemon.endless_task import run_endlessly
from sassafraswharf.fleet.coordinator import Coordinator
from sassafraswharf.fleet.first_start import record_first_start
from sassafraswharf.fleet.fleet_planner import PROPOSAL_TIMEOUT_S
from sassafraswharf.fleet.fleet_planner import FleetPlanner
from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.fleet_state import PlanCommand
from sassafraswharf.fleet.fleet_state import decode_plan_reply
from sassafraswharf.fleet.fleet_state import encode_plan_command
from sassafraswharf.fleet.lease_timing import LeaseTiming
from sassafraswharf.fleet.plan_answer import OUTCOMES
from sassafraswharf.fleet.plan_answer import PlanAnswer
from sassafraswharf.fleet.plan_answer import PlanOutcome
from sassafraswharf.fleet.read_api import PREFIX
from sassafraswharf.fleet.read_api import ReadApi
from sassafraswharf.fleet.rollout import Rollout
from sassafraswharf.fleet.state_feed import StateFeed
from sassafraswharf.fleet.sync import EXPIRED_LEASE_S
from sassafraswharf.fleet.sync import REQUEST_DECODER
from sassafraswharf.fleet.sync import SyncReply
from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId
from sassafraswharf.peering.plain_sealer import PlainSealer
from sassafraswharf.randomness import create_generator
from sassafraswharf.router.change_signal import ChangeSignal
from sassafraswharf.router.http_server import HttpServer
from sassafraswharf.transport import messages
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.mailbox import Mailbox
from sassafraswharf.transport.mailbox import Peer


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.messages import ConsensusMessage
    from sassafraswharf.failure import Failure
    from sassafraswharf.observability.decision_log import DecisionLog
    from sassafraswharf.routing.plan_document import PlanChange
    from sassafraswharf.routing.plan_document import PlanDocument
    from sassafraswharf.routing.plan_document import PlanReader
    from sassafraswharf.settings.node_schema import Node
    from sassafraswharf.transport.envelope import Envelope


GROUP: Final = GroupId("fleet")
GROUP_TIMING: Final = ReplicaTiming(
    heartbeat_s=0.15, election_min_s=0.6, election_max_s=1.0
)
PEER_SILENCE_TIMEOUT_S: Final = 1.2
"""A connection between control hosts without received messages for this long is
reopened, since the old one may never deliver again."""
MAX_SYNC_BYTES: Final = 1_048_576
MAX_HEADER_BYTES: Final = 16_384
HEADER_TIMEOUT_S: Final = 5.0


class ControlNode:
    """Runs one replica, serves routers and, as the leader, plans the fleet.

    Replicas are identified by the IP address of their host, so that no address
    list is needed: the ports are the same on all hosts.
    """

    def __init__(
        self, node: Node, reader: PlanReader, clock: Clock, log: DecisionLog
    ) -> None:
        """Prepare the replica; ``node`` must have a data folder."""
        self.node = node
        self.clock = clock
        self.log = log
        self.state = FleetState(reader)
        self.coordinator = Coordinator(
            LeaseTiming(election_s=GROUP_TIMING.election_max_s)
        )
        self.rollout = Rollout(self.state, self.coordinator, clock)
        self.state_changed = ChangeSignal()
        self.heard_at: dict[str, float] = {}
        self.feed = StateFeed(self.state, log, node.zone)
        self.dialled_at: dict[str, float] = {}
        self.mailbox = Mailbox(
            f"{node.address}:{node.first_peer_port + 1}",
            PlainSealer(node.address),
            self.on_message,
            self.on_dropped,
        )
        self.group = self.create_group()
        self.planner = FleetPlanner(
            self.state, self.coordinator, self.group, self.feed, clock, log
        )
        self.planner.on_change = self.state_changed.notify
        self.server = HttpServer(
            self.handle,
            max_body_bytes=MAX_SYNC_BYTES,
            max_header_bytes=MAX_HEADER_BYTES,
            header_timeout_s=HEADER_TIMEOUT_S,
        )
        self.reads = ReadApi(self, node.first_peer_port)
        self.tasks: list[asyncio.Task[None]] = []

    def create_group(self) -> GroupTask:
        """Return the replica of this host.

        The seeds bootstrap the group at the first start of the fleet; all other
        hosts join it.
        """
        seeds = [ReplicaId(ip) for ip, _ in self.node.seeds]
        voters = 2 * self.node.tolerated_hosts + 1
        folder = Path(self.node.data_folder or "")
        may_bootstrap = record_first_start(folder, self.node.first_start)
        group = GroupTask(
            GROUP,
            ReplicaId(self.node.address),
            self.state,
            folder / GROUP,
            seeds,
            self.transmit,
            self.clock,
            create_generator(self.node.address),
            GROUP_TIMING,
            MembershipPolicy(may_bootstrap, voters),
        )
        group.on_role_change = self.on_role_change
        return group

    async def start(self) -> None:
        """Open the sockets and start the replica.

        Raises ``TransportError`` or ``StorageError``.
        """
        self.mailbox.direct_handlers[MessageKind.CONSENSUS] = self.on_consensus
        self.mailbox.start()
        await self.group.start()
        await self.server.start(self.node.address, self.node.first_peer_port)
        self.tasks = [asyncio.create_task(run_endlessly("planning", self.planner.run))]

    async def stop(self) -> None:
        """Transfer leadership and close everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.group.stop()
        await self.server.stop_accepting()
        await self.server.stop()
        await self.mailbox.stop()

    # The replicated log.

    def transmit(self, target: ReplicaId, message: ConsensusMessage) -> None:
        """Send a consensus message, without delivery guarantee."""
        name = host_name(target)
        address = f"{name}:{self.node.first_peer_port + 1}"
        now = self.clock.now()
        silent_since = max(
            self.heard_at.get(name, 0.0), self.dialled_at.setdefault(name, now)
        )
        if now - silent_since > PEER_SILENCE_TIMEOUT_S:
            self.dialled_at[name] = now
            self.mailbox.forget(address)
        body = messages.ConsensusBody(
            GROUP, self.node.address, target, encode_message(message)
        )
        self.mailbox.send(
            Peer(name, address), MessageKind.CONSENSUS, messages.encode(body)
        )

    def on_consensus(self, envelope: Envelope) -> None:
        """Decode a consensus message and deliver it to the replica."""
        body = messages.decode(envelope.body, messages.ConsensusBody)
        if isinstance(body, Err):
            self.on_dropped(body.err_value)
            return
        message = decode_message(body.ok_value.payload)
        if isinstance(message, Err):
            self.on_dropped(message.err_value)
            return
        self.heard_at[envelope.sender] = self.clock.now()
        self.group.deliver(ReplicaId(envelope.sender), message.ok_value)

    async def on_message(self, envelope: Envelope) -> bytes | None:
        """Ignore message kinds that control hosts don't exchange."""
        self.log.record("message_ignored", sender=envelope.sender)
        return None

    def on_dropped(self, failure: Failure) -> None:
        """Log a message that was dropped, with the reason."""
        self.log.record("message_dropped", code=int(failure.code), why=failure.message)

    def on_role_change(self, is_leader: bool, term: int) -> None:
        """Reset the coordination state for a new term or role."""
        self.log.record("leadership", leads=is_leader, term=term)
        self.coordinator.start_term(self.clock.now(), self.state.revocation_version)
        self.feed.clear()
        self.state_changed.notify()
        self.planner.on_role_change()

    @property
    def leads(self) -> bool:
        """Return whether this control host is the leader and has the newest state."""
        return self.group.is_current_leader()

    @property
    def leader_address(self) -> str:
        """Return the IP address of the leader, empty if it is unknown."""
        leader = self.group.leader
        return host_name(leader) if leader else ""

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the IP addresses of the members of the group."""
        return tuple(host_name(one) for one in self.group.voters.members)

    def can_acknowledge(self) -> bool:
        """Return whether a commit survives the tolerated number of lost disks."""
        return self.group.voters.quorum > self.node.tolerated_hosts

    # Operators.

    async def change_plan(self, change: PlanChange, actor: str) -> PlanAnswer:
        """Commit an operator's change and return its outcome.

        An accepted change is answered once the routers have it, or after
        ``MAX_ROLLOUT_WAIT_S``.
        """
        if not self.group.is_current_leader():
            return PlanAnswer(
                PlanOutcome.NOT_LEADER, "not the leader", self.leader_address
            )
        if not self.can_acknowledge():
            return PlanAnswer(PlanOutcome.UNKNOWN, "too few copies of the log")
        problem = self.state.find_problem(change)
        if problem:
            self.log.record(
                "configuration_refused", version=change.version, why=problem
            )
            return PlanAnswer(PlanOutcome.INVALID, problem)
        command = encode_plan_command(PlanCommand(change, actor, time.time()))
        done = await self.group.propose(command, PROPOSAL_TIMEOUT_S)
        if isinstance(done, Err):
            refused = done.err_value.code is ResultCode.MESSAGE_TOO_LARGE
            outcome = PlanOutcome.INVALID if refused else PlanOutcome.UNKNOWN
            return PlanAnswer(outcome, str(done.err_value))
        if not self.can_acknowledge():
            return PlanAnswer(PlanOutcome.UNKNOWN, "too few copies of the log")
        reply = decode_plan_reply(done.ok_value)
        self.state_changed.notify()
        began = self.clock.now()
        is_accepted = reply.code == ResultCode.OK
        lagging = await self.rollout.wait(change.version) if is_accepted else ()
        self.log.record(
            "configuration",
            version=change.version,
            base=change.base_version,
            code=reply.code,
            why=reply.message,
            in_force=reply.version,
            rollout_ms=round((self.clock.now() - began) * 1000),
            lagging=len(lagging),
            one_lagging=min(lagging, default=""),
        )
        return PlanAnswer(OUTCOMES[ResultCode(reply.code)], reply.message)

    def read_plan(self) -> PlanDocument | None:
        """Return the newest configuration, ``None`` if it may be outdated."""
        return self.state.plan if self.group.is_current_leader() else None

    # Routers.

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to a router's report or to a read of the command line tool."""
        if request.path.startswith(PREFIX):
            return self.reads.handle(request)
        return await self.handle_sync(request)

    async def handle_sync(self, request: web.BaseRequest) -> web.Response:
        """Decode a router's report and respond to it."""
        try:
            received = await request.read()
            report = REQUEST_DECODER.decode(received)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.log.record("report_refused", why=str(error))
            return web.Response(status=400)
        reply = await self.sync(report)
        body = msgspec.msgpack.encode(reply)
        self.feed.on_reply(report, reply, len(received), len(body))
        return web.Response(body=body)

    async def sync(self, report: SyncRequest) -> SyncReply:
        """Process a report; reply at once with urgent updates, or after ``hold_s``."""
        if not self.group.is_current_leader():
            return SyncReply(self.leader_address, self.control_addresses, 0.0)
        arrived_at = self.clock.now()
        self.coordinator.on_sync(report, arrived_at)
        self.rollout.on_report()
        self.feed.on_report(report)
        self.planner.due.set()
        state = self.state
        while not self.feed.has_urgent_update(report):
            left_s = report.hold_s - (self.clock.now() - arrived_at)
            if left_s <= 0 or not await self.state_changed.wait(left_s):
                break
        if not self.group.is_current_leader():
            return SyncReply(self.leader_address, self.control_addresses, 0.0)
        now = self.clock.now()
        may_renew = self.coordinator.renewal.may_renew(report)
        if not may_renew:
            self.log.record(
                "lease_withheld", router=report.host, fleet=report.fleet_version
            )
        return SyncReply(
            self.leader_address,
            self.control_addresses,
            self.coordinator.timing.lease_s if may_renew else EXPIRED_LEASE_S,
            self.feed.plan_part(report, now),
            self.feed.fleet_part(report, now),
            self.coordinator.suspects_for(report, now),
            state.plan.version,
            state.fleet.version,
        )
