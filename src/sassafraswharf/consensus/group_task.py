"""The asyncio task that runs one replica with its storage and state machine."""

from __future__ import annotations

import asyncio
import itertools

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from absl import logging
from result import Err
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.actions import Action
from sassafraswharf.consensus.actions import ApplyEntries
from sassafraswharf.consensus.actions import InstallSnapshot
from sassafraswharf.consensus.actions import Role
from sassafraswharf.consensus.actions import RoleChanged
from sassafraswharf.consensus.actions import SendMessage
from sassafraswharf.consensus.core import DEFAULT_POLICY
from sassafraswharf.consensus.disk_queue import DiskQueue
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.group_view import GroupView
from sassafraswharf.consensus.messages import ConsensusMessage
from sassafraswharf.consensus.proposals import Proposal
from sassafraswharf.consensus.proposals import Proposals
from sassafraswharf.consensus.replica import Replica
from sassafraswharf.consensus.storage import ReplicaStorage
from sassafraswharf.consensus.timing import NEVER
from sassafraswharf.consensus.voters import VoterChange
from sassafraswharf.consensus.voters import decode_voters
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path

    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.core import MembershipPolicy
    from sassafraswharf.consensus.entry import Entry
    from sassafraswharf.consensus.state_machine import StateMachine
    from sassafraswharf.consensus.storage import StoredReplica
    from sassafraswharf.consensus.timing import ReplicaTiming
    from sassafraswharf.consensus.voters import Voters
    from sassafraswharf.identifiers import GroupId
    from sassafraswharf.identifiers import ReplicaId


SNAPSHOT_INTERVAL_ENTRIES = 1_000
# Further messages are dropped; the protocol tolerates loss and senders repeat them.
MAX_INBOX_MESSAGES = 4_096
TRANSFER_POLL_S = 0.005
# Delay before the storage is opened again after a disk failure.
REOPEN_DELAY_S = 0.5


def ignore_role_change(is_leader: bool, term: int) -> None:
    """Do nothing; the default of ``on_role_change``."""
    del is_leader, term


class GroupTask(GroupView):
    """One Raft group on one host.

    ``bootstrap_hosts`` are the hosts that bootstrap the group. ``self_id`` is the
    name of this host; the identity with its random part is read from ``folder``.
    ``send`` must not block and may lose messages. ``is_leader`` becomes true, and
    ``on_role_change`` is called, when this replica leads and its state machine
    has applied everything that earlier leaders acknowledged.
    """

    def __init__(
        self,
        group: GroupId,
        self_id: ReplicaId,
        state_machine: StateMachine,
        folder: Path,
        bootstrap_hosts: Sequence[ReplicaId],
        send: Callable[[ReplicaId, ConsensusMessage], None],
        clock: Clock,
        rng: random.Random,
        timing: ReplicaTiming,
        policy: MembershipPolicy = DEFAULT_POLICY,
    ) -> None:
        self.policy = policy
        self.group = group
        self.name = host_name(self_id)
        self.state_machine = state_machine
        self.bootstrap_hosts = [host_name(voter) for voter in bootstrap_hosts]
        self.transmit = send
        super().__init__(clock)
        self.rng = rng
        self.timing = timing
        self.on_role_change: Callable[[bool, int], None] = ignore_role_change
        self.applied_index = 0
        self.failure: Failure | None = None
        self.reopen_at = NEVER
        self.inbox: deque[ConsensusMessage] = deque()
        self.proposals = Proposals()
        self.wakeup = asyncio.Event()
        storage = ReplicaStorage(folder, self.name)
        self.disk_queue = DiskQueue(storage, group, self.wakeup.set)
        self.stopping = False
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Read the files and run the replica; raises ``StorageError``."""
        try:
            stored = await self.disk_queue.open()
        except Exception:
            await self.disk_queue.close()
            raise
        if stored.snapshot:
            self.state_machine.restore(stored.snapshot.data)
            self.applied_index = stored.snapshot.log_index
        replica = self.create_replica(stored)
        self.task = asyncio.create_task(self.run(replica))

    def create_replica(self, stored: StoredReplica) -> Replica:
        """Replace the replica by one that starts from the files."""
        self.replica = Replica(
            stored.state,
            self.bootstrap_hosts,
            stored.snapshot,
            stored.entries,
            self.timing,
            self.rng,
            self.clock.now(),
            self.policy,
        )
        return self.replica

    async def reopen(self, replica: Replica) -> Replica:
        """Return a replica from the reread files, or the old one if the disk fails.

        The state machine is kept: everything it applied is committed, so the new
        replica commits the same entries again.
        """
        self.reopen_at = self.clock.now() + REOPEN_DELAY_S
        try:
            stored = await self.disk_queue.reopen()
        except (OSError, StorageError) as error:
            logging.warning(
                "group %s: storage is still unavailable: %s", self.group, error
            )
            return replica
        self.failure = None
        return self.create_replica(stored)

    async def stop(self) -> None:
        """Transfer leadership, finish disk writes and close the files."""
        replica, task = self.replica, self.task
        if not replica or not task:
            return
        if not task.done():
            await self.transfer_leadership(replica)
        self.stopping = True
        self.wakeup.set()
        await asyncio.wait([task])
        self.task = None
        await self.disk_queue.close()

    async def transfer_leadership(self, replica: Replica) -> None:
        """Wait until another replica leads or the transfer has failed."""
        self.execute(replica, replica.transfer(self.clock.now()))
        self.wakeup.set()
        until = self.clock.now() + 2 * self.timing.election_max_s
        while replica.transfer_to and replica.role is Role.LEADER:
            if self.clock.now() >= until or self.failure:
                return
            await asyncio.sleep(TRANSFER_POLL_S)

    def deliver(self, sender: ReplicaId, message: ConsensusMessage) -> None:
        """Accept a message; ``sender`` is the authenticated host or identity."""
        if not self.task or len(self.inbox) >= MAX_INBOX_MESSAGES:
            return
        if host_name(sender) != host_name(message.source):
            return
        # The bare name is used before the identity is known. Messages to an older
        # identity of this host are not for this replica.
        if message.target in {self.identity, self.name}:
            self.inbox.append(message)
            self.wakeup.set()

    async def propose(self, command: bytes, timeout_s: float) -> Result[bytes, Failure]:
        """Propose a command and return the state machine's answer.

        5001: this replica is not the leader, the command was not applied. 5002:
        the outcome is unknown. 5004: the disk failed; the outcome is unknown if
        the command was proposed before. 6002: the command is too large.
        """
        return await self.submit(command, timeout_s)

    async def change_voters(
        self, change: VoterChange, timeout_s: float
    ) -> Result[Voters, Failure]:
        """Propose a voter change; return the new members, or 5006 if it is refused."""
        return await self.submit(change, timeout_s)

    async def submit(
        self, item: bytes | VoterChange, timeout_s: float
    ) -> Result[Any, Failure]:
        """Queue a proposal and wait for its entry to be applied."""
        if self.failure:
            return Err(self.failure)
        if not self.replica or self.stopping or self.replica.role is not Role.LEADER:
            return Err(Failure(ResultCode.NOT_LEADER, f"leader is {self.leader}"))
        future = self.proposals.add(item)
        self.wakeup.set()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            message = f"not committed within {timeout_s} s, the outcome is unknown"
            return Err(Failure(ResultCode.PROPOSAL_TIMEOUT, message))

    async def run(self, replica: Replica) -> None:
        """Handle events until the task is stopped and the disk is idle."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self.handle_events(replica)
                if self.stopping and not self.disk_queue.is_busy:
                    break
                now = self.clock.now()
                delay_s = max(replica.next_tick_at(now) - now, 0.0)
                timer = loop.call_later(delay_s, self.wakeup.set)
                await self.wakeup.wait()
                self.wakeup.clear()
                timer.cancel()
                is_due = self.failure and self.clock.now() >= self.reopen_at
                if is_due and not self.disk_queue.is_busy:
                    replica = await self.reopen(replica)
        except Exception as error:
            # After an exception in the state machine the replica must stop, as it
            # would still answer heartbeats without applying entries.
            logging.exception("group %s stopped after an unexpected error", self.group)
            message = f"group {self.group} stopped by a defect: {error}"
            self.failure = Failure(ResultCode.STORAGE_FAILED, message)
        finally:
            replica.halted = True
            self.set_leader(False, replica.term)
            message = "stopped, the outcome is unknown"
            stopped = Failure(ResultCode.PROPOSAL_TIMEOUT, message)
            self.proposals.fail_all(self.failure or stopped)

    def handle_events(self, replica: Replica) -> None:
        """Handle all queued events, then sync their disk actions with one job."""
        self.finish_disk_job(replica)
        for _ in range(len(self.inbox)):
            message = self.inbox.popleft()
            now = self.clock.now()
            self.execute(replica, replica.receive(message.source, message.body, now))
        for is_change, group in itertools.groupby(
            self.proposals.take(), lambda one: isinstance(one.item, VoterChange)
        ):
            if is_change:
                self.propose_changes(replica, list(group))
            else:
                self.propose_commands(replica, list(group))
        self.execute(replica, replica.tick(self.clock.now()))
        self.save_snapshot(replica)
        if not self.failure:
            self.disk_queue.start_job(replica.log.last_index, replica.log.last_term)

    def propose_commands(self, replica: Replica, items: list[Proposal]) -> None:
        """Append commands as one batch; if it is refused, try them one by one."""
        commands = [one.item for one in items if isinstance(one.item, bytes)]
        proposed = replica.propose(commands, self.clock.now())
        if isinstance(proposed, Err):
            if len(items) == 1:
                items[0].answer(proposed)
                return
            for item in items:
                self.propose_commands(replica, [item])
            return
        indices, actions = proposed.ok_value
        for index, proposal in zip(indices, items, strict=True):
            self.proposals.track(index, replica.term, proposal)
        self.execute(replica, actions)

    def propose_changes(self, replica: Replica, items: list[Proposal]) -> None:
        """Append voter changes one by one."""
        for proposal in items:
            if not isinstance(proposal.item, VoterChange):
                continue
            proposed = replica.propose_voters(proposal.item, self.clock.now())
            if isinstance(proposed, Err):
                proposal.answer(proposed)
                continue
            index, actions = proposed.ok_value
            self.proposals.track(index, replica.term, proposal)
            self.execute(replica, actions)

    def execute(self, replica: Replica, actions: Sequence[Action]) -> None:
        """Execute the actions of the replica in order."""
        for action in actions:
            match action:
                case SendMessage():
                    if self.disk_queue.is_state_synced:
                        self.send_now(replica, action)
                    else:
                        self.disk_queue.hold_message(action)
                case ApplyEntries(entries):
                    self.apply(replica, entries)
                case RoleChanged(role, term):
                    if role is not Role.LEADER:
                        self.set_leader(False, term)
                case InstallSnapshot(snapshot, _):
                    if snapshot.log_index > self.applied_index:
                        self.state_machine.restore(snapshot.data)
                        self.applied_index = snapshot.log_index
                    self.proposals.answer_replaced_by_snapshot(snapshot.log_index)
                    self.disk_queue.add(action)
                case _:
                    self.disk_queue.add(action)

    def send_now(self, replica: Replica, action: SendMessage) -> None:
        """Pass a message to the transport."""
        message = ConsensusMessage(replica.identity, action.target, action.body)
        self.transmit(action.target, message)

    def apply(self, replica: Replica, entries: Sequence[Entry]) -> None:
        """Apply committed entries and answer their proposals."""
        for entry in entries:
            if entry.log_index <= self.applied_index:
                # After a reopen the replica commits applied entries again.
                continue
            answer: Any = b""
            if entry.kind is EntryKind.COMMAND:
                answer = self.state_machine.apply(entry.log_index, entry.data)
            elif entry.kind is EntryKind.VOTERS:
                answer = decode_voters(entry.data)
            self.applied_index = entry.log_index
            self.proposals.answer_applied(entry, answer)
        if replica.role is Role.LEADER:
            is_ready = self.applied_index >= replica.term_start_index
            self.set_leader(is_ready, replica.term)

    def set_leader(self, is_leader: bool, term: int) -> None:
        """Set ``is_leader`` and report a change."""
        if is_leader != self.is_leader:
            self.is_leader = is_leader
            self.on_role_change(is_leader, term)

    def save_snapshot(self, replica: Replica) -> None:
        """Queue a snapshot once enough entries were applied since the last one.

        All actions of the step are queued by now, so the log in memory and the
        one on disk after the queue are the same.
        """
        index = self.applied_index
        if index - replica.log.snapshot.log_index < SNAPSHOT_INTERVAL_ENTRIES:
            return
        # After a disk failure the reread log may lack entries that were applied.
        if index > replica.commit_index:
            return
        term = replica.log.term_at(index)
        if self.disk_queue.queued_snapshot or replica.halted or term is None:
            return
        voters = replica.log.voters_at(index)
        snapshot = Snapshot(index, term, voters, self.state_machine.snapshot())
        retained = replica.log.between(index + 1, replica.log.last_index)
        self.disk_queue.queued_snapshot = snapshot
        self.disk_queue.add(InstallSnapshot(snapshot, retained))

    def finish_disk_job(self, replica: Replica) -> None:
        """Send the messages that waited for the sync and report it to the replica."""
        try:
            job = self.disk_queue.take_finished_job()
        except OSError as error:
            self.handle_disk_failure(replica, error)
            return
        if not job:
            return
        for message in self.disk_queue.take_sendable():
            self.send_now(replica, message)
        if job.snapshot:
            replica.compact(job.snapshot)
        now = self.clock.now()
        self.execute(replica, replica.persisted(job.last_index, job.last_term, now))

    def handle_disk_failure(self, replica: Replica, error: OSError) -> None:
        """Step down and fail all proposals after a disk error."""
        message = f"group {self.group}: {error}"
        logging.error("storage failed, stepping down: %s", message)
        self.failure = Failure(ResultCode.STORAGE_FAILED, message)
        self.reopen_at = self.clock.now() + REOPEN_DELAY_S
        self.disk_queue.discard()
        self.execute(replica, replica.halt(self.clock.now()))
        self.disk_queue.discard()
        self.proposals.fail_all(self.failure)
