"""Runs the Raft groups of a control host and dispatches messages to them."""

from __future__ import annotations

import asyncio

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from result import Err

from sassafraswharf.cell.counters import Counters
from sassafraswharf.cell.state import CellState
from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.state import ConfigurationState
from sassafraswharf.consensus.group_task import GroupTask
from sassafraswharf.consensus.messages import decode_message
from sassafraswharf.consensus.messages import encode_message
from sassafraswharf.consensus.timing import ReplicaTiming
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.control.cell_replica import CellReplica
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId
from sassafraswharf.leases.messages import LeaseRefusal
from sassafraswharf.leases.messages import LeaseRenewal
from sassafraswharf.randomness import create_generator
from sassafraswharf.transport import messages
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.mailbox import Peer


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.messages import ConsensusMessage
    from sassafraswharf.consensus.state_machine import StateMachine
    from sassafraswharf.settings.schema import ControlHostSettings
    from sassafraswharf.settings.schema import Settings
    from sassafraswharf.transport.datagrams import Address
    from sassafraswharf.transport.datagrams import DatagramEndpoint
    from sassafraswharf.transport.envelope import Envelope
    from sassafraswharf.transport.mailbox import Mailbox


CONFIGURATION_GROUP: Final = GroupId("configuration")
PROPOSAL_TIMEOUT_S: Final = 2.0


class ControlPart:
    """Runs the replicas of one control host: the configuration and some cells."""

    def __init__(
        self,
        settings: Settings,
        mailbox: Mailbox,
        datagrams: DatagramEndpoint,
        clock: Clock,
    ) -> None:
        """Create the groups; ``settings`` must have a ``control`` section."""
        self.settings = settings
        self.mailbox = mailbox
        self.datagrams = datagrams
        self.clock = clock
        self.rng = create_generator(settings["host"])
        self.hosts: dict[str, ControlHostSettings] = {
            host["name"]: host for host in settings["control_hosts"]
        }
        self.configuration = ConfigurationState()
        self.groups = {
            CONFIGURATION_GROUP: self.create_group(
                CONFIGURATION_GROUP, self.configuration
            )
        }
        names = settings["control"].get("cells", [settings["cell"]])
        self.cells = {GroupId(name): self.create_cell(GroupId(name)) for name in names}

    def create_cell(self, name: GroupId) -> CellReplica:
        """Return this host's replica of a cell."""
        state = CellState()
        group = self.groups[name] = self.create_group(name, state)
        return CellReplica(
            name, group, state, self.configuration, self.datagrams, self.clock
        )

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
        """Load the stored logs and join the groups."""
        self.mailbox.direct_handlers[MessageKind.CONSENSUS] = self.on_consensus
        for group in self.groups.values():
            await group.start()
        for cell in self.cells.values():
            cell.start()

    async def stop(self) -> None:
        """Hand over leadership and close the files."""
        await asyncio.gather(*(cell.stop() for cell in self.cells.values()))
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

    def on_renewal(self, envelope: Envelope, address: Address) -> None:
        """Dispatch a lease renewal to the cell that it names."""
        decoded = messages.decode(envelope.body, LeaseRenewal)
        if isinstance(decoded, Err):
            self.datagrams.on_dropped(decoded.err_value)
            return
        renewal = decoded.ok_value
        cell = self.cells.get(GroupId(renewal.cell))
        if cell is not None:
            cell.lease_handler.handle_renewal(
                renewal, envelope.sender, address, self.datagrams
            )
            return
        refusal = LeaseRefusal(
            renewal.session, renewal.sequence, ResultCode.NOT_LEADER, None
        )
        self.datagrams.send(
            address,
            envelope.sender,
            MessageKind.LEASE_REFUSAL,
            messages.encode(refusal),
        )

    def imbalance(self) -> dict[str, float]:
        """Return the highest imbalance of each service in any cell of this host."""
        found: dict[str, float] = {}
        for cell in self.cells.values():
            for service, value in cell.imbalance().items():
                found[service] = max(value, found.get(service, 0.0))
        return found

    def totals(self) -> dict[str, float]:
        """Return the counters summed over the cells of this host."""
        found: dict[str, float] = dict.fromkeys(Counters._fields, 0.0)
        for cell in self.cells.values():
            for field, value in cell.state.counters._asdict().items():
                found[field] += value
        return found

    async def handle(self, envelope: Envelope) -> bytes | None:
        """Handle proposals and pull requests of routers."""
        handler = {
            MessageKind.PROPOSAL: self.on_proposal,
            MessageKind.CELL_PULL: self.on_cell_pull,
            MessageKind.CONFIGURATION_PULL: self.on_configuration_pull,
        }.get(envelope.kind)
        return None if handler is None else await handler(envelope)

    async def on_proposal(self, envelope: Envelope) -> bytes | None:
        """Commit a command proposed by a router."""
        decoded = messages.decode(envelope.body, messages.Proposal)
        if isinstance(decoded, Err):
            self.mailbox.on_dropped(decoded.err_value)
            return None
        proposal = decoded.ok_value
        group = self.groups.get(GroupId(proposal.group))
        if proposal.group == CONFIGURATION_GROUP:
            return None
        if group is None:
            message = f"no replica of {proposal.group} runs here"
            return messages.encode(
                messages.ProposalReply(int(ResultCode.NOT_LEADER), message, "", b"")
            )
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
        """Return the changes of a cell since a version; any replica may answer."""
        decoded = messages.decode(envelope.body, messages.CellPull)
        if isinstance(decoded, Err):
            self.mailbox.on_dropped(decoded.err_value)
            return None
        pull = decoded.ok_value
        delta = b""
        cell = self.cells.get(GroupId(pull.cell))
        if cell is not None and pull.from_version < cell.state.version:
            delta = messages.encode(cell.state.delta_since(pull.from_version))
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
