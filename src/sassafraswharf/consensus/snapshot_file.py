"""The snapshot file of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.files import replace_file
from sassafraswharf.consensus.files import with_checksum
from sassafraswharf.consensus.files import without_checksum
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from pathlib import Path


DECODER = msgspec.msgpack.Decoder(Snapshot)


def write_snapshot(path: Path, snapshot: Snapshot) -> None:
    """Replace the snapshot and sync it."""
    replace_file(path, with_checksum(msgspec.msgpack.encode(snapshot)))


def read_snapshot(path: Path) -> Snapshot | None:
    """Return the snapshot, or None if there is none.

    Raises ``StorageError`` with 5005 if it is corrupt: the log no longer has the
    entries that it covers.
    """
    if not path.exists():
        return None
    body = without_checksum(path.read_bytes())
    if body is not None:
        return DECODER.decode(body)
    failure = Failure(ResultCode.SNAPSHOT_CORRUPT, f"{path} is corrupt")
    raise StorageError(failure)
