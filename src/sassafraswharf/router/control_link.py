"""Renews the lease and pulls tables from the control hosts of the cell."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING
from typing import Final

from absl import logging
from result import Err
from result import Ok

from sassafraswharf.cell.codec import decode_reply
from sassafraswharf.cell.codec import decode_value
from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.commands import CloseSession
from sassafraswharf.cell.commands import OpenSession
from sassafraswharf.cell.commands import SessionOpened
from sassafraswharf.cell.delta import CellDelta
from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import CellId
from sassafraswharf.leases.holder import NO_SESSION
from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseRefusal
from sassafraswharf.transport import messages
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.mailbox import Peer


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from sassafraswharf.cell.commands import AnyReply
    from sassafraswharf.cell.commands import Command
    from sassafraswharf.clock import Clock
    from sassafraswharf.leases.holder import LeaseHolder
    from sassafraswharf.router.view import RouterView
    from sassafraswharf.settings.schema import ControlHostSettings
    from sassafraswharf.transport.datagrams import DatagramEndpoint
    from sassafraswharf.transport.envelope import Envelope
    from sassafraswharf.transport.mailbox import Mailbox


RENEWAL_CHECK_INTERVAL_S: Final = 0.05
RENEWAL_TIMEOUT_S: Final = 0.1
"""Renewals go to all control hosts if the leader has not answered for this long."""
PROPOSAL_TIMEOUT_S: Final = 0.5
PULL_TIMEOUT_S: Final = 0.5
CLOSE_TIMEOUT_S: Final = 1.0
RETRY_DELAY_S: Final = 0.05


class ControlLink:
    """Maintains the session, the lease, the cell's tables and the configuration.

    It is the only writer of the lease holder and the view; other tasks read them.
    """

    def __init__(
        self,
        open_command: OpenSession,
        cell: str,
        control_hosts: list[ControlHostSettings],
        holder: LeaseHolder,
        view: RouterView,
        mailbox: Mailbox,
        datagrams: DatagramEndpoint,
        clock: Clock,
        encode_load_report: Callable[[], bytes],
    ) -> None:
        """Start unconnected; ``encode_load_report`` is called for each renewal."""
        self.open_command = open_command
        self.cell = cell
        holder.cell = CellId(cell)
        self.control_hosts = {host["name"]: host for host in control_hosts}
        self.leader = next(iter(self.control_hosts))
        self.holder = holder
        self.view = view
        self.mailbox = mailbox
        self.datagrams = datagrams
        self.clock = clock
        self.encode_load_report = encode_load_report
        self.newest_version = 0
        self.newest_revision = 0
        self.last_ack_at = 0.0
        self.pull_due = asyncio.Event()
        self.session_due = asyncio.Event()
        self.background_tasks: list[asyncio.Task[None]] = []
        self.closing = False

    def start(self) -> None:
        """Start the tasks that open sessions, renew the lease and pull changes."""
        self.session_due.set()
        loops = (self.maintain_session(), self.renew(), self.pull_changes())
        self.background_tasks = [asyncio.create_task(loop) for loop in loops]

    async def stop(self) -> None:
        """Close the session, so that slots move before the lease expires, and stop."""
        self.closing = True
        session = self.holder.session
        if session != NO_SESSION:
            self.holder.close()
            command = CloseSession(session, "shutdown", time.time())
            await self.propose(command, CLOSE_TIMEOUT_S)
        for task in self.background_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)

    def refresh(self) -> None:
        """Pull the table now, because a peer appears to have a newer one."""
        self.pull_due.set()

    async def propose(
        self, command: Command, timeout_s: float = 5.0
    ) -> Result[AnyReply, Failure]:
        """Commit a command to the cell's log through its leader.

        Commands are idempotent, so a proposal without an answer is retried until
        ``timeout_s`` has passed (code 5002).
        """
        body = messages.encode(messages.Proposal(self.cell, encode_command(command)))
        give_up_at = self.clock.now() + timeout_s
        while self.clock.now() < give_up_at:
            reply = await self.ask_leader(body)
            if isinstance(reply, Ok):
                return reply
            await asyncio.sleep(RETRY_DELAY_S)
        name = type(command).__name__
        return Err(
            Failure(ResultCode.PROPOSAL_TIMEOUT, f"{name}: no leader for {timeout_s} s")
        )

    async def commit(self, command: Command) -> bool:
        """Commit a command with the current time; return whether it was accepted."""
        reply = await self.propose(command._replace(at=time.time()))
        name = type(command).__name__
        if isinstance(reply, Err):
            logging.warning("%s: %s", name, reply.err_value)
            return False
        self.record_newest(reply.ok_value.version, 0)
        if reply.ok_value.code:
            logging.info("%s refused: %s", name, reply.ok_value.message)
        return not reply.ok_value.code

    async def ask_leader(self, body: bytes) -> Result[AnyReply, Failure]:
        """Send a proposal to the presumed leader and update which host that is."""
        peer = self.control_peer(self.leader)
        answer = await self.mailbox.request(
            peer, MessageKind.PROPOSAL, body, PROPOSAL_TIMEOUT_S
        )
        if isinstance(answer, Err):
            self.try_next_host()
            return answer
        decoded = messages.decode(answer.ok_value, messages.ProposalReply)
        if isinstance(decoded, Err):
            return decoded
        reply = decoded.ok_value
        if reply.code:
            self.follow_leader(reply.leader)
            return Err(Failure(ResultCode(reply.code), reply.message))
        return decode_reply(reply.reply)

    def follow_leader(self, leader: str) -> None:
        """Use the named leader from now on, or the next host if it is unknown."""
        name = leader.partition(":")[0]
        if name in self.control_hosts and name != self.leader:
            self.leader = name
        else:
            self.try_next_host()

    def try_next_host(self) -> None:
        """Use the next control host as the presumed leader from now on."""
        names = list(self.control_hosts)
        self.leader = names[(names.index(self.leader) + 1) % len(names)]

    def control_peer(self, name: str) -> Peer:
        """Return the control address of a control host."""
        host = self.control_hosts[name]
        return Peer(name, f"{host['address']}:{host['control_port']}")

    async def maintain_session(self) -> None:
        """Open a session whenever there is none, until cancelled."""
        while True:
            await self.session_due.wait()
            self.session_due.clear()
            while self.holder.session == NO_SESSION and not self.closing:
                await self.open_session()

    async def open_session(self) -> None:
        """Try once to open a session."""
        sent_at = self.clock.now()
        # A new incarnation keeps a session that was closed meanwhile from being reused.
        opening = self.open_command._replace(incarnation=time.time_ns(), at=time.time())
        reply = await self.propose(opening)
        if isinstance(reply, Err):
            logging.warning("can't open a session: %s", reply.err_value)
            return
        opened = reply.ok_value
        if not isinstance(opened, SessionOpened) or opened.code:
            logging.warning("session refused: %s", opened.message)
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self.holder.open(opened.session, sent_at)
        self.refresh()
        logging.info("session %d opened", opened.session)

    async def renew(self) -> None:
        """Send lease renewals when they are due, until cancelled."""
        while True:
            now = self.clock.now()
            self.holder.configuration_revision = self.view.revision
            self.holder.table_version = self.view.version
            self.holder.load = self.encode_load_report()
            renewal = self.holder.next_renewal(now)
            if renewal is not None:
                self.send_renewal(messages.encode(renewal), now)
            if self.holder.session == NO_SESSION and not self.closing:
                self.session_due.set()
            await asyncio.sleep(RENEWAL_CHECK_INTERVAL_S)

    def send_renewal(self, body: bytes, now: float) -> None:
        """Send a renewal to the leader, or to all hosts while it does not answer."""
        waiting_s = self.holder.timing.renew_every_s + RENEWAL_TIMEOUT_S
        silent = now - self.last_ack_at > waiting_s
        names = list(self.control_hosts) if silent else [self.leader]
        for name in names:
            host = self.control_hosts[name]
            self.datagrams.send(
                (host["address"], host["lease_port"]),
                name,
                MessageKind.LEASE_RENEWAL,
                body,
            )

    def on_datagram(self, envelope: Envelope) -> None:
        """Handle acknowledgements, refusals and change hints from control hosts."""
        if envelope.kind == MessageKind.LEASE_ACK:
            ack = messages.decode(envelope.body, LeaseAck)
            if isinstance(ack, Ok):
                self.on_ack(envelope.sender, ack.ok_value)
        elif envelope.kind == MessageKind.LEASE_REFUSAL:
            refusal = messages.decode(envelope.body, LeaseRefusal)
            if isinstance(refusal, Ok):
                self.on_refusal(refusal.ok_value)
        elif envelope.kind == MessageKind.TABLE_CHANGED:
            hint = messages.decode(envelope.body, messages.TableChanged)
            if isinstance(hint, Ok) and hint.ok_value.cell == self.cell:
                self.record_newest(hint.ok_value.table_version, 0)

    def on_ack(self, sender: str, ack: LeaseAck) -> None:
        """Extend the lease and record the newest known versions."""
        now = self.clock.now()
        self.last_ack_at = now
        self.leader = sender if sender in self.control_hosts else self.leader
        was_valid = self.holder.is_valid(now)
        self.holder.on_ack(ack, now)
        if not was_valid and self.holder.is_valid(now):
            self.view.changed.notify()
        self.record_newest(ack.table_version, ack.configuration_revision)

    def on_refusal(self, refusal: LeaseRefusal) -> None:
        """Switch to the hinted leader, or open a new session if this one is closed."""
        had_session = self.holder.session != NO_SESSION
        self.holder.on_refusal(refusal, self.clock.now())
        if had_session and self.holder.session == NO_SESSION:
            logging.warning("session %d was closed by the cell", refusal.session)
            if not self.closing:
                self.session_due.set()
        if refusal.leader_hint is not None:
            name = str(refusal.leader_hint).partition(":")[0]
            self.leader = name if name in self.control_hosts else self.leader

    def record_newest(self, table_version: int, revision: int) -> None:
        """Record the newest known versions and trigger a pull if the view is behind."""
        self.newest_version = max(self.newest_version, table_version)
        self.newest_revision = max(self.newest_revision, revision)
        if self.is_behind():
            self.pull_due.set()

    def is_behind(self) -> bool:
        """Return whether a newer table or configuration is known to exist."""
        return (
            self.view.version < self.newest_version
            or self.view.revision < self.newest_revision
        )

    async def pull_changes(self) -> None:
        """Pull the configuration and the table when behind, until cancelled."""
        source = self.leader
        while True:
            await self.pull_due.wait()
            self.pull_due.clear()
            pulled = await self.pull(source)
            if pulled:
                source = self.leader
                continue
            names = list(self.control_hosts)
            source = names[(names.index(source) + 1) % len(names)]
            await asyncio.sleep(RETRY_DELAY_S)
            self.pull_due.set()

    async def pull(self, source: str) -> bool:
        """Pull once; return whether the control host answered."""
        peer = self.control_peer(source)
        if self.view.revision < max(self.newest_revision, 1):
            body = messages.encode(messages.ConfigurationPull(self.view.revision))
            answer = await self.mailbox.request(
                peer, MessageKind.CONFIGURATION_PULL, body, PULL_TIMEOUT_S
            )
            if isinstance(answer, Err):
                return False
            self.apply_configuration(answer.ok_value)
        body = messages.encode(messages.CellPull(self.cell, self.view.version))
        answer = await self.mailbox.request(
            peer, MessageKind.CELL_PULL, body, PULL_TIMEOUT_S
        )
        if isinstance(answer, Err):
            return False
        self.apply_delta(answer.ok_value)
        return True

    def apply_configuration(self, body: bytes) -> None:
        """Apply a pulled configuration if it is newer."""
        decoded = messages.decode(body, messages.ConfigurationPullReply)
        if isinstance(decoded, Err) or not decoded.ok_value.document:
            return
        reply = decoded.ok_value
        accepted = self.view.accept_configuration(reply.revision, reply.document)
        if isinstance(accepted, Err):
            logging.error("configuration %d: %s", reply.revision, accepted.err_value)
        elif accepted.ok_value:
            logging.info("configuration %d is in force", reply.revision)

    def apply_delta(self, body: bytes) -> None:
        """Apply a pulled delta."""
        decoded = messages.decode(body, messages.CellPullReply)
        if isinstance(decoded, Err) or not decoded.ok_value.delta:
            return
        delta = decode_value(decoded.ok_value.delta, CellDelta)
        if isinstance(delta, Err):
            logging.error("cell delta: %s", delta.err_value)
            return
        applied = self.view.apply(delta.ok_value)
        if isinstance(applied, Err):
            logging.error("cell delta: %s", applied.err_value)
