"""Group commit: disk actions collect while a worker thread syncs earlier ones."""

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
    from sassafraswharf.consensus.storage import Stored


class DiskJob(NamedTuple):
    """Actions that the worker executes with one sync, and where the log then ends."""

    actions: list[DiskAction]
    last_index: int
    last_term: int
    saved: Snapshot | None


class DiskQueue:
    """One job runs at a time. Messages wait for the states that precede them."""

    def __init__(
        self, storage: ReplicaStorage, name: str, on_done: Callable[[], None]
    ) -> None:
        self.storage = storage
        self.on_done = on_done
        self.worker = ThreadPoolExecutor(1, thread_name_prefix=f"log-{name}")
        self.pending: list[DiskAction] = []
        self.saved: Snapshot | None = None
        self.future: asyncio.Future[None] | None = None
        self.running: DiskJob | None = None
        self.states_queued = 0
        self.states_synced = 0
        self.held: deque[tuple[int, SendMessage]] = deque()

    @property
    def is_busy(self) -> bool:
        """Return whether a job is running."""
        return self.future is not None

    @property
    def is_state_synced(self) -> bool:
        """Return whether a message may be sent now."""
        return self.states_synced == self.states_queued

    async def open(self) -> Stored:
        """Read the files in the worker; raises ``StorageError``."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.worker, self.storage.open)

    async def reopen(self) -> Stored:
        """Read the files again after a failure, once they can be written.

        Raises ``OSError`` or ``StorageError``. Nothing that was queued before the
        failure is kept.
        """
        self.discard()
        self.saved = None
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.worker, self.storage.reopen)

    def add(self, action: DiskAction) -> None:
        """Queue an action."""
        self.pending.append(action)
        self.states_queued += isinstance(action, PersistState)

    def hold(self, message: SendMessage) -> None:
        """Keep a message until the states queued before it are synced."""
        self.held.append((self.states_queued, message))

    def released(self) -> list[SendMessage]:
        """Return the messages that may be sent now."""
        messages = []
        while self.held and self.held[0][0] <= self.states_synced:
            messages.append(self.held.popleft()[1])
        return messages

    def start(self, last_index: int, last_term: int) -> None:
        """Give all pending actions to the worker unless it is busy."""
        if self.future or not self.pending:
            return
        self.running = DiskJob(self.pending, last_index, last_term, self.saved)
        self.pending = []
        loop = asyncio.get_running_loop()
        self.future = loop.run_in_executor(
            self.worker, self.storage.perform, self.running.actions
        )
        self.future.add_done_callback(lambda _: self.on_done())

    def finish(self) -> DiskJob | None:
        """Return a job that is now durable; raises what the worker raised."""
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
            self.saved = None if job.saved else self.saved
        return job

    def discard(self) -> None:
        """Forget everything that is not yet on disk."""
        self.pending = []
        self.held.clear()
        self.states_synced = self.states_queued

    async def close(self) -> None:
        """Close the files and end the worker."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.worker, self.storage.close)
        self.worker.shutdown()
