"""The data folder of one replica: hard state, log and snapshot."""

from __future__ import annotations

import fcntl
import os
import secrets

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.actions import HardState
from sassafraswharf.consensus.actions import InstallSnapshot
from sassafraswharf.consensus.actions import PersistEntries
from sassafraswharf.consensus.actions import PersistState
from sassafraswharf.consensus.actions import TruncateFrom
from sassafraswharf.consensus.files import replace_file
from sassafraswharf.consensus.files import sync_folder
from sassafraswharf.consensus.files import with_checksum
from sassafraswharf.consensus.files import without_checksum
from sassafraswharf.consensus.log_file import LogFile
from sassafraswharf.consensus.snapshot_file import read_snapshot
from sassafraswharf.consensus.snapshot_file import write_snapshot
from sassafraswharf.consensus.voters import host_name
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import ReplicaId


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from sassafraswharf.consensus.entry import Entry
    from sassafraswharf.consensus.entry import Snapshot


DiskAction: TypeAlias = PersistState | PersistEntries | TruncateFrom | InstallSnapshot
DECODER = msgspec.msgpack.Decoder(HardState)
IDENTITY_BYTES = 8


class StoredReplica(NamedTuple):
    """The state that a replica restores at its start."""

    state: HardState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class ReplicaStorage:
    """The files of one replica; its methods block and raise ``OSError``."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = name
        self.state_path = folder / "state"
        self.log_path = folder / "log"
        self.snapshot_path = folder / "snapshot"
        self.log: LogFile | None = None
        self.lock: int | None = None

    def open(self) -> StoredReplica:
        """Lock and read the folder; an empty folder gets a new identity.

        Raises ``StorageError``: 5003 for a corrupt log or state, 5004 if the
        folder is unusable or in use, 5005 for a corrupt snapshot and 5007 if the
        files don't belong together or to this host.
        """
        try:
            return self.read()
        except OSError as error:
            self.close()
            failure = Failure(ResultCode.STORAGE_FAILED, f"{self.folder}: {error}")
            raise StorageError(failure) from error
        except StorageError:
            self.close()
            raise

    def reopen(self) -> StoredReplica:
        """Read the folder again after a failure, if it is writable again.

        Raises ``OSError`` or ``StorageError``.
        """
        self.close()
        stored = self.open()
        self.perform([PersistState(stored.state)])
        return stored

    def read(self) -> StoredReplica:
        """Lock the folder and read all files."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC)
        # Two processes with the same identity could vote twice in a term.
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        state = self.read_state()
        snapshot = read_snapshot(self.snapshot_path)
        self.log = LogFile(self.log_path)
        entries = tuple(self.log.entries)
        self.log.entries = []
        covered = snapshot.log_index if snapshot else 0
        if entries and entries[0].log_index > covered + 1:
            message = f"the log starts at {entries[0].log_index}, after {covered}"
            raise StorageError(Failure(ResultCode.LOG_CORRUPT, message))
        last_term = max([entry.term for entry in entries[-1:]], default=0)
        if max(last_term, snapshot.term if snapshot else 0) > state.term:
            raise self.mismatch(f"the log is newer than term {state.term}")
        if entries and entries[-1].log_index <= covered:
            self.log.rewrite(())
            entries = ()
        # A killed process may have left renames that are not yet durable.
        sync_folder(self.folder)
        sync_folder(self.folder.parent)
        return StoredReplica(state, snapshot, entries)

    def read_state(self) -> HardState:
        """Return the stored state, or that of a new replica."""
        if not self.state_path.exists():
            return self.create()
        body = without_checksum(self.state_path.read_bytes())
        if body is None:
            message = f"{self.state_path} is corrupt"
            raise StorageError(Failure(ResultCode.LOG_CORRUPT, message))
        state = DECODER.decode(body)
        if host_name(state.identity) != self.name or not self.log_path.exists():
            raise self.mismatch(f"files of {state.identity} on host {self.name}")
        return state

    def create(self) -> HardState:
        """Write the files of a new replica, the identity last."""
        if self.snapshot_path.exists() or (
            self.log_path.exists() and self.log_path.stat().st_size
        ):
            raise self.mismatch("there is a log or snapshot without an identity")
        replace_file(self.log_path, b"")
        # Not from the injected random generator: an identity must never be reused.
        identity = ReplicaId(f"{self.name}:{secrets.token_hex(IDENTITY_BYTES)}")
        state = HardState(identity)
        self.write_state(state)
        return state

    def mismatch(self, reason: str) -> StorageError:
        """Return the error for files that do not belong together, code 5007."""
        message = f"{self.folder}: {reason}"
        return StorageError(Failure(ResultCode.IDENTITY_MISMATCH, message))

    def write_state(self, state: HardState) -> None:
        """Replace identity, term and vote."""
        content = msgspec.msgpack.encode(state)
        replace_file(self.state_path, with_checksum(content))

    def perform(self, actions: Sequence[DiskAction]) -> None:
        """Execute the actions in order and sync the log once."""
        log = self.log
        if log is None:
            message = f"{self.folder} is not open"
            raise StorageError(Failure(ResultCode.STORAGE_FAILED, message))
        appended = False
        for action in actions:
            match action:
                case PersistState(state):
                    self.write_state(state)
                case TruncateFrom(index):
                    log.truncate(index)
                case PersistEntries(entries):
                    log.append(entries)
                    appended = True
                case InstallSnapshot(snapshot, retained):
                    write_snapshot(self.snapshot_path, snapshot)
                    log.rewrite(retained)
        if appended:
            log.sync()

    def close(self) -> None:
        """Close the files and release the folder."""
        log, self.log = self.log, None
        lock, self.lock = self.lock, None
        if log:
            log.close()
        if lock is not None:
            os.close(lock)
