"""Group commit: disk actions queue up while a worker thread syncs earlier ones."""

from __future__ import annotations

import asyncio

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.consensus.actions import PersistState


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.consensus.actions import SendMessage
    from sassafraswharf.consensus.entry import Snapshot
    from sassafraswharf.consensus.storage import DiskAction
    from sassafraswharf.consensus.storage import ReplicaStorage
    from sassafraswharf.consensus.storage import StoredReplica


class DiskJob(NamedTuple):
    """Actions that the worker executes with one sync, and the last entry after them."""

    actions: list[DiskAction]
    last_index: int
    last_term: int
    snapshot: Snapshot | None


class DiskQueue:
    """Runs one job at a time; messages wait until earlier states are synced."""

    def __init__(
        self, storage: ReplicaStorage, name: str, on_done: Callable[[], None]
    ) -> None:
        self.storage = storage
        self.on_done = on_done
        self.worker = ThreadPoolExecutor(1, thread_name_prefix=f"log-{name}")
        self.pending: list[DiskAction] = []
        self.queued_snapshot: Snapshot | None = None
        self.future: asyncio.Future[None] | None = None
        self.running: DiskJob | None = None
        self.states_queued = 0
        self.states_synced = 0
        self.held_messages: deque[tuple[int, SendMessage]] = deque()

    @property
    def is_busy(self) -> bool:
        """Return whether a job is running."""
        return self.future is not None

    @property
    def is_state_synced(self) -> bool:
        """Return whether all queued states are synced, so a message may be sent."""
        return self.states_synced == self.states_queued

    async def open(self) -> StoredReplica:
        """Read the files in the worker; raises ``StorageError``."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.worker, self.storage.open)

    async def reopen(self) -> StoredReplica:
        """Read the files again after a failure, once they can be written.

        Raises ``OSError`` or ``StorageError``. Nothing that was queued before the
        failure is kept.
        """
        self.discard()
        self.queued_snapshot = None
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.worker, self.storage.reopen)

    def add(self, action: DiskAction) -> None:
        """Queue an action."""
        self.pending.append(action)
        self.states_queued += isinstance(action, PersistState)

    def hold_message(self, message: SendMessage) -> None:
        """Hold a message until the states queued before it are synced."""
        self.held_messages.append((self.states_queued, message))

    def take_sendable(self) -> list[SendMessage]:
        """Remove and return the held messages that may be sent now."""
        messages = []
        while self.held_messages and self.held_messages[0][0] <= self.states_synced:
            messages.append(self.held_messages.popleft()[1])
        return messages

    def start_job(self, last_index: int, last_term: int) -> None:
        """Submit all pending actions as one job unless a job is running."""
        if self.future or not self.pending:
            return
        self.running = DiskJob(
            self.pending, last_index, last_term, self.queued_snapshot
        )
        self.pending = []
        loop = asyncio.get_running_loop()
        self.future = loop.run_in_executor(
            self.worker, self.storage.perform, self.running.actions
        )
        self.future.add_done_callback(lambda _: self.on_done())

    def take_finished_job(self) -> DiskJob | None:
        """Return the job that has finished, or raise its exception."""
        if not self.future or not self.future.done():
            return None
        future, job = self.future, self.running
        self.future = None
        self.running = None
        future.result()
        if job:
            self.states_synced += sum(
                isinstance(one, PersistState) for one in job.actions
            )
            self.queued_snapshot = None if job.snapshot else self.queued_snapshot
        return job

    def discard(self) -> None:
        """Discard all actions and messages that are not yet with the worker."""
        self.pending = []
        self.held_messages.clear()
        self.states_synced = self.states_queued

    async def close(self) -> None:
        """Close the files and stop the worker."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.worker, self.storage.close)
        self.worker.shutdown()
