"""The groups of a control host and the decisions of their leaders."""

from __future__ import annotations

import asyncio
import random
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from absl import logging
from result import Err

from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.commands import ServiceSpec
from sassafraswharf.cell.commands import SetServices
from sassafraswharf.cell.controller import CellController
from sassafraswharf.cell.state import CellState
from sassafraswharf.configuration.state import ConfigurationState
from sassafraswharf.configuration.validation import decode_document
from sassafraswharf.consensus.core import ReplicaTiming
from sassafraswharf.consensus.group_task import GroupTask
from sassafraswharf.consensus.messages import decode_message
from sassafraswharf.consensus.messages import encode_message
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.control.lease_desk import LeaseDesk
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.leases.messages import LeaseTiming
from sassafraswharf.placement.values import PlannerLimits
from sassafraswharf.placement.values import Weights
from sassafraswharf.transport import messages
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.mailbox import Peer


if TYPE_CHECKING:
    from sassafraswharf.cell.commands import Command
    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.messages import ConsensusMessage
    from sassafraswharf.consensus.state_machine import StateMachine
    from sassafraswharf.settings.schema import ControlHostSettings
    from sassafraswharf.settings.schema import Settings
    from sassafraswharf.transport.datagrams import DatagramEndpoint
    from sassafraswharf.transport.envelope import Envelope
    from sassafraswharf.transport.mailbox import Mailbox


CONFIGURATION_GROUP: Final = GroupId("configuration")
CONTROLLER_TICK_S: Final = 0.05
BUSY_TICK_S: Final = 0.01
"""The slots of a lost zone take several ticks, which should follow at once."""
COMMAND_TIMEOUT_S: Final = 1.0
PROPOSAL_TIMEOUT_S: Final = 2.0


class ControlPart:
    """Runs the replicas of one control host.

    The controller of the cell runs only on the leader: it proposes commands
    and waits until all of them are applied before it decides again, so no
    command is decided twice.
    """

    def __init__(
        self,
        settings: Settings,
        mailbox: Mailbox,
        datagrams: DatagramEndpoint,
        clock: Clock,
    ) -> None:
        """Prepare the groups; ``settings`` must have a ``control`` section."""
        self.settings = settings
        self.mailbox = mailbox
        self.datagrams = datagrams
        self.clock = clock
        self.rng = random.Random(time.time_ns())
        self.hosts: dict[str, ControlHostSettings] = {
            host["name"]: host for host in settings["control_hosts"]
        }
        self.cell_name = GroupId(settings["cell"])
        self.configuration = ConfigurationState()
        self.cell = CellState()
        self.groups = {
            CONFIGURATION_GROUP: self.create_group(
                CONFIGURATION_GROUP, self.configuration
            ),
            self.cell_name: self.create_group(self.cell_name, self.cell),
        }
        self.desk = LeaseDesk(
            self.groups[self.cell_name],
            self.cell,
            LeaseTiming(),
            clock,
            lambda: self.configuration.revision,
        )
        self.groups[self.cell_name].on_role_change = self.on_cell_role
        self.controller = CellController()
        self.configured_revision = 0
        self.notified_version = 0
        self.is_busy = False
        self.task: asyncio.Task[None] | None = None

    def create_group(self, group: GroupId, machine: StateMachine) -> GroupTask:
        """Return the replica of a group on this host."""
        folder = Path(self.settings["control"]["data_folder"]) / group
        return GroupTask(
            group,
            ReplicaId(self.settings["host"]),
            machine,
            folder,
            [ReplicaId(name) for name in self.hosts],
            lambda target, message: self.transmit(group, target, message),
            self.clock,
            self.rng,
            ReplicaTiming(),
        )

    async def start(self) -> None:
        """Read the files and take part in the groups."""
        self.mailbox.direct_handlers[MessageKind.CONSENSUS] = self.on_consensus
        for group in self.groups.values():
            await group.start()
        self.task = asyncio.create_task(self.control())

    async def stop(self) -> None:
        """Hand over leadership and close the files."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await asyncio.gather(*(group.stop() for group in self.groups.values()))

    def transmit(
        self, group: GroupId, target: ReplicaId, message: ConsensusMessage
    ) -> None:
        """Send a message of a group; it may be lost."""
        host = self.hosts.get(host_name(target))
        if host is None:
            return
        body = messages.ConsensusBody(
            group, self.settings["host"], target, encode_message(message)
        )
        peer = Peer(host["name"], f"{host['address']}:{host['control_port']}")
        self.mailbox.send(peer, MessageKind.CONSENSUS, messages.encode(body))

    def on_consensus(self, envelope: Envelope) -> None:
        """Deliver a message of a group to its replica."""
        body = messages.decode(envelope.body, messages.ConsensusBody)
        if isinstance(body, Err):
            self.mailbox.on_dropped(body.err_value)
            return
        message = decode_message(body.ok_value.payload)
        if isinstance(message, Err):
            self.mailbox.on_dropped(message.err_value)
            return
        group = self.groups.get(GroupId(body.ok_value.group))
        if group is not None:
            group.deliver(ReplicaId(envelope.sender), message.ok_value)

    def on_cell_role(self, is_leader: bool, term: int) -> None:
        """Follow the leadership of the cell's group."""
        logging.info("cell leader: %s, term %d", is_leader, term)
        self.controller = CellController()
        self.configured_revision = 0
        self.desk.on_role_change(is_leader=is_leader, term=term)

    async def control(self) -> None:
        """Decide as the leader of the cell until cancelled."""
        while True:
            await asyncio.sleep(BUSY_TICK_S if self.is_busy else CONTROLLER_TICK_S)
            try:
                self.is_busy = await self.decide()
            except Exception:
                logging.exception("the cell controller failed")

    async def decide(self) -> bool:
        """Propose what the controller decides, tell the hosts.

        Returns whether there was anything to decide.
        """
        group = self.groups[self.cell_name]
        if not group.is_current_leader():
            return False
        await self.follow_configuration()
        expired = self.desk.expired()
        commands = self.controller.tick(
            self.cell, expired, self.desk.loads, self.clock.now(), time.time()
        )
        if commands:
            await asyncio.gather(*(self.commit(command) for command in commands))
            self.desk.follow_state()
        if self.cell.version != self.notified_version:
            self.notified_version = self.cell.version
            self.desk.notify_hosts(self.cell_name, self.datagrams)
        return bool(commands)

    async def commit(self, command: Command) -> None:
        """Commit a command of the controller."""
        group = self.groups[self.cell_name]
        reply = await group.propose(encode_command(command), COMMAND_TIMEOUT_S)
        if isinstance(reply, Err):
            logging.warning("%s: %s", type(command).__name__, reply.err_value)

    async def follow_configuration(self) -> None:
        """Bring services, weights and limits of a new revision into the cell."""
        newest = self.configuration.history.newest
        if newest is None or newest.revision == self.configured_revision:
            return
        document = decode_document(newest.document)
        if isinstance(document, Err):
            logging.error("revision %d: %s", newest.revision, document.err_value)
            return
        weights = document.ok_value["weights"]
        placement = document.ok_value["placement"]
        self.controller.configure(
            Weights(**weights),
            PlannerLimits(
                moves_per_minute=placement["moves_per_minute"],
                min_benefit=placement["minimum_benefit"],
            ),
        )
        self.configured_revision = newest.revision
        if self.cell.revision >= newest.revision:
            return
        specs = tuple(
            ServiceSpec(
                ServiceName(service["name"]),
                service["slot_count"],
                service["admit"] == "any",
            )
            for service in document.ok_value["services"]
        )
        await self.commit(SetServices(newest.revision, specs, at=time.time()))

    def imbalance(self) -> dict[str, float]:
        """Return the highest load per speed over the mean, per service.

        1.0 is perfect balance; a service without reported load counts as 1.0.
        """
        found = {}
        now = self.clock.now()
        for service in self.cell.services:
            members = [u for u in self.cell.upstreams.values() if u.service == service]
            names = {upstream.upstream for upstream in members}
            loads = self.desk.loads.upstream_loads(members, names, now)
            shares = [load.load / load.speed for load in loads if load.speed > 0]
            mean = sum(shares) / len(shares) if shares else 0.0
            found[str(service)] = max(shares) / mean if mean > 0 else 1.0
        return found

    async def handle(self, envelope: Envelope) -> bytes | None:
        """Answer proposals and pulls of routers."""
        handler = {
            MessageKind.PROPOSAL: self.on_proposal,
            MessageKind.CELL_PULL: self.on_cell_pull,
            MessageKind.CONFIGURATION_PULL: self.on_configuration_pull,
        }.get(envelope.kind)
        return None if handler is None else await handler(envelope)

    async def on_proposal(self, envelope: Envelope) -> bytes | None:
        """Commit a command that a router proposes."""
        decoded = messages.decode(envelope.body, messages.Proposal)
        if isinstance(decoded, Err):
            self.mailbox.on_dropped(decoded.err_value)
            return None
        proposal = decoded.ok_value
        group = self.groups.get(GroupId(proposal.group))
        if group is None or proposal.group == CONFIGURATION_GROUP:
            return None
        reply = await group.propose(proposal.command, PROPOSAL_TIMEOUT_S)
        if isinstance(reply, Err):
            failure = reply.err_value
            answer = messages.ProposalReply(
                int(failure.code), failure.message, group.leader or "", b""
            )
        else:
            answer = messages.ProposalReply(0, "", group.leader or "", reply.ok_value)
        return messages.encode(answer)

    async def on_cell_pull(self, envelope: Envelope) -> bytes | None:
        """Return what changed in the cell; any replica may answer."""
        decoded = messages.decode(envelope.body, messages.CellPull)
        if isinstance(decoded, Err):
            self.mailbox.on_dropped(decoded.err_value)
            return None
        pull = decoded.ok_value
        delta = b""
        if pull.cell == self.cell_name and pull.from_version < self.cell.version:
            delta = messages.encode(self.cell.delta_since(pull.from_version))
        return messages.encode(messages.CellPullReply(delta))

    async def on_configuration_pull(self, envelope: Envelope) -> bytes | None:
        """Return the configuration if it is newer; any replica may answer."""
        decoded = messages.decode(envelope.body, messages.ConfigurationPull)
        if isinstance(decoded, Err):
            self.mailbox.on_dropped(decoded.err_value)
            return None
        newest = self.configuration.history.newest
        if newest is None or newest.revision <= decoded.ok_value.known_revision:
            reply = messages.ConfigurationPullReply(0, b"")
        else:
            reply = messages.ConfigurationPullReply(newest.revision, newest.document)
        return messages.encode(reply)
