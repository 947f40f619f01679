"""Tests power losses and kills of one replica at every step of its writes."""

from __future__ import annotations

import random
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from sassafraswharf.consensus.actions import HardState
from sassafraswharf.consensus.actions import InstallSnapshot
from sassafraswharf.consensus.actions import PersistEntries
from sassafraswharf.consensus.actions import PersistState
from sassafraswharf.consensus.actions import TruncateFrom
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.storage import ReplicaStorage
from sassafraswharf.consensus.voters import Voters
from tests.consensus.faulty_folder import FaultyFolder
from tests.consensus.faulty_folder import ProcessEndedError


if TYPE_CHECKING:
    from sassafraswharf.consensus.storage import DiskAction
    from sassafraswharf.consensus.storage import StoredReplica


class FolderMachine(RuleBasedStateMachine):
    """Checks that all that ``open`` or ``perform`` has returned survives a power loss.

    A replica acknowledges what it has read from its files at the start as well as
    what it has synced since, so both must be durable.
    """

    @initialize(seed=st.integers(0, 2**16))
    def create(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name) / "group"
        self.disk = FaultyFolder(self.folder, self.rng)
        self.storage = ReplicaStorage(self.folder, "a")
        with self.disk.installed():
            self.take(self.storage.open())

    def take(self, stored: StoredReplica) -> None:
        self.state = stored.state
        self.snapshot = stored.snapshot or Snapshot(0, 0, Voters(), b"")
        self.entries = [
            one for one in stored.entries if one.log_index > self.snapshot.log_index
        ]

    @property
    def last_index(self) -> int:
        return self.snapshot.log_index + len(self.entries)

    # Actions as a replica queues them; the model changes at once.

    def append(self) -> DiskAction:
        entries = tuple(
            Entry(
                self.last_index + number,
                self.state.term,
                EntryKind.COMMAND,
                self.rng.randbytes(self.rng.randrange(60)),
            )
            for number in range(1, self.rng.randint(2, 4))
        )
        self.entries.extend(entries)
        return PersistEntries(entries)

    def start_term(self) -> DiskAction:
        self.state = self.state._replace(term=self.state.term + 1)
        return PersistState(self.state)

    def truncate(self) -> DiskAction:
        kept = self.rng.randint(0, len(self.entries))
        del self.entries[kept:]
        return TruncateFrom(self.last_index + 1)

    def compact(self) -> DiskAction:
        covered = self.rng.randint(0, len(self.entries))
        if covered:
            last = self.entries[covered - 1]
            data = self.rng.randbytes(9)
            self.snapshot = Snapshot(last.log_index, last.term, Voters(), data)
            del self.entries[:covered]
        return InstallSnapshot(self.snapshot, tuple(self.entries))

    def job(self, kinds: list[str]) -> list[DiskAction]:
        actions: list[DiskAction] = []
        for kind in kinds:
            if kind == "truncate":
                # Only a leader of a newer term replaces entries.
                actions.append(self.start_term())
            actions.append(getattr(self, kind)())
        return actions

    KINDS = st.lists(
        st.sampled_from([*["append"] * 6, "start_term", "truncate", "compact"]),
        min_size=1,
        max_size=5,
    )

    @rule(kinds=KINDS)
    def perform(self, kinds: list[str]) -> None:
        with self.disk.installed():
            self.storage.perform(self.job(kinds))

    @rule()
    def lose_power_when_idle(self) -> None:
        self.storage.close()
        self.disk.lose_power()
        self.restart(self.state, self.snapshot, list(self.entries), [])

    @rule(kinds=KINDS, calls=st.integers(0, 7), is_killed=st.booleans())
    def end_in_a_job(self, kinds: list[str], calls: int, is_killed: bool) -> None:
        """End the process at one system call, by a kill or by a power loss."""
        before = (self.state, self.snapshot, list(self.entries))
        job = self.job(kinds)
        self.disk.calls_left = calls
        try:
            with self.disk.installed():
                self.storage.perform(job)
            before = (self.state, self.snapshot, list(self.entries))
            job = []
        except ProcessEndedError:
            pass
        self.disk.calls_left = None
        self.storage.close()
        if not is_killed:
            self.disk.lose_power()
        self.restart(*before, job)

    def restart(
        self,
        state: HardState,
        snapshot: Snapshot,
        entries: list[Entry],
        job: list[DiskAction],
    ) -> None:
        """Read the files; nothing durable may be lost, nothing else may appear."""
        self.storage = ReplicaStorage(self.folder, "a")
        with self.disk.installed():
            self.take(self.storage.open())
        states = [state, *(one.state for one in job if isinstance(one, PersistState))]
        assert self.state in states
        known = {(one.log_index, one) for one in entries}
        kept_below = snapshot.log_index + len(entries) + 1
        snapshots = [snapshot]
        for action in job:
            if isinstance(action, PersistEntries):
                known.update((one.log_index, one) for one in action.entries)
            elif isinstance(action, TruncateFrom):
                kept_below = min(kept_below, action.log_index)
            elif isinstance(action, InstallSnapshot):
                snapshots.append(action.snapshot)
        assert self.snapshot in snapshots
        assert all((one.log_index, one) in known for one in self.entries)
        present = {one.log_index: one for one in self.entries}
        for one in entries:
            if self.snapshot.log_index < one.log_index < kept_below:
                assert present.get(one.log_index) == one

    def teardown(self) -> None:
        if hasattr(self, "temporary"):
            self.storage.close()
            self.disk.close()
            self.temporary.cleanup()


class TestFolder(FolderMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against a power loss after which a replica lacks or refuses its log."""

    settings = settings(max_examples=250, stateful_step_count=20)
