from __future__ import annotations

import random

from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from sassafraswharf.consensus.actions import InstallSnapshot
from sassafraswharf.consensus.actions import PersistEntries
from sassafraswharf.consensus.actions import PersistState
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.storage import ReplicaStorage
from sassafraswharf.consensus.voters import Voters
from tests.consensus.faulty_folder import FaultyFolder
from tests.consensus.faulty_folder import ProcessEndedError


if TYPE_CHECKING:
    from pathlib import Path

    from sassafraswharf.consensus.storage import DiskAction


ENTRY = Entry(1, 0, EntryKind.COMMAND, b"acknowledged")
SNAPSHOT = Snapshot(1, 0, Voters(), b"state")
ACTIONS: list[DiskAction] = [
    PersistEntries((ENTRY,)),
    InstallSnapshot(SNAPSHOT, ()),
]


@pytest.mark.parametrize("action", [*ACTIONS, None], ids=["log", "snapshot", "vote"])
@pytest.mark.parametrize("seed", range(8))
def test_what_a_restarted_replica_read_survives_a_power_loss(
    tmp_path: Path, action: DiskAction | None, seed: int
) -> None:
    """Guards against a replica that acknowledges writes only in the page cache.

    A process that is killed between a write and its sync leaves the write in its
    files. The next process reads and acknowledges it, so a later power loss must
    not lose it.
    """
    disk = FaultyFolder(tmp_path / "group", random.Random(seed))
    for calls in range(8):
        storage = ReplicaStorage(tmp_path / "group", "a")
        with disk.installed():
            state = storage.open().state
            voted = state._replace(term=state.term + 1, voted_for=state.identity)
            disk.calls_left = calls
            with suppress(ProcessEndedError):
                storage.perform([action or PersistState(voted)])
            disk.calls_left = None
            storage.close()
            read = storage.open()
            storage.close()
        disk.lose_power()
        with disk.installed():
            assert storage.open() == read
            storage.close()
        if read.entries or read.snapshot:
            break
    disk.close()
