from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus import messages
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.log_file import LogFile
from sassafraswharf.consensus.log_file import encode_record
from sassafraswharf.consensus.snapshot_file import read_snapshot
from sassafraswharf.consensus.snapshot_file import write_snapshot
from sassafraswharf.consensus.storage import ReplicaStorage
from sassafraswharf.consensus.voters import Voters
from sassafraswharf.exceptions import StorageError
from sassafraswharf.identifiers import ReplicaId


if TYPE_CHECKING:
    from pathlib import Path


A, B = ReplicaId("a:1"), ReplicaId("b:2")
VOTERS = Voters((A, B), (), ("c",))
ENTRIES = [Entry(n, 1 + n // 3, EntryKind.COMMAND, b"x" * n) for n in range(5, 11)]
RECORDS = [encode_record(entry) for entry in ENTRIES]
BODIES: list[messages.Body] = [
    messages.VoteRequest(3, 2, 1, True, False),
    messages.VoteReply(3, True, False),
    messages.AppendRequest(3, 4, 1, tuple(ENTRIES), 7, 1.5),
    messages.AppendReply(3, False, 4, 9, 1.5),
    messages.SnapshotChunk(3, 10, 2, VOTERS, 0, 4, b"data", 1.5),
    messages.SnapshotReply(3, 10, 4, 1.5),
    messages.TransferNow(3),
    messages.JoinRequest(A),
    messages.BootstrapQuery(("a", "b")),
    messages.EmptyReplicaReply(A),
    messages.BootstrapVoters(VOTERS),
]


def flipped(data: bytes, offset: int) -> bytes:
    return data[:offset] + bytes([data[offset] ^ 0xFF]) + data[offset + 1 :]


def read_log(path: Path, content: bytes) -> list[Entry] | ResultCode:
    path.write_bytes(content)
    try:
        log = LogFile(path)
    except StorageError as error:
        return error.failure.code
    log.close()
    assert path.stat().st_size == log.size
    return log.entries


def test_log_prefix_keeps_whole_records(tmp_path: Path) -> None:
    """Guards against a torn tail that hides or invents entries."""
    content = b"".join(RECORDS)
    for length in range(len(content) + 1):
        whole = [n for n in range(7) if len(b"".join(RECORDS[:n])) <= length]
        assert read_log(tmp_path / "log", content[:length]) == ENTRIES[: max(whole)]


def test_log_byte_flip_is_refused_before_the_tail(tmp_path: Path) -> None:
    """Guards against dropping synced entries after a corrupt record.

    In the last record a flip can't be told from a write that was cut short.
    """
    content = b"".join(RECORDS)
    tail = len(content) - len(RECORDS[-1])
    for offset in range(len(content)):
        expected = ResultCode.LOG_CORRUPT if offset < tail else ENTRIES[:-1]
        assert read_log(tmp_path / "log", flipped(content, offset)) == expected


def test_log_byte_flip_among_the_records_of_syncs(tmp_path: Path) -> None:
    """Guards against refusing a log whose last sync a power loss has cut off.

    Of the writes since the last sync a later one may be there without an earlier
    one. Damage in an earlier sync is refused.
    """
    path = tmp_path / "log"
    path.touch()
    log = LogFile(path)
    for synced in (ENTRIES[:2], ENTRIES[2:4], ENTRIES[4:]):
        for entry in synced:
            log.append([entry])
        log.sync()
    log.close()
    content = path.read_bytes()
    ends = [sum(map(len, RECORDS[:count])) for count in range(len(RECORDS) + 1)]
    for offset in range(len(content)):
        whole = max(count for count, end in enumerate(ends) if end <= offset)
        expected = ResultCode.LOG_CORRUPT if whole < 4 else ENTRIES[:whole]
        assert read_log(path, flipped(content, offset)) == expected


@pytest.mark.parametrize("body", BODIES, ids=lambda one: type(one).__name__)
def test_damaged_message_never_raises(body: messages.Body) -> None:
    """Guards against a peer that crashes the receiver with invalid bytes."""
    message = messages.ConsensusMessage(A, B, body)
    data = messages.encode_message(message)
    assert messages.decode_message(data) == Ok(message)
    for offset in range(len(data)):
        assert isinstance(messages.decode_message(data[:offset]), Err)
        # A flip inside a value can give another valid message; the envelope's MAC
        # finds that.
        for bit in range(8):
            changed = bytearray(data)
            changed[offset] ^= 1 << bit
            assert isinstance(messages.decode_message(bytes(changed)), Ok | Err)


def test_damaged_snapshot_is_refused(tmp_path: Path) -> None:
    """Guards against a state machine restored from a corrupt snapshot."""
    path = tmp_path / "snapshot"
    snapshot = Snapshot(7, 2, VOTERS, b"state")
    write_snapshot(path, snapshot)
    assert read_snapshot(path) == snapshot
    content = path.read_bytes()
    damaged = [content[:n] for n in range(len(content))]
    damaged += [flipped(content, n) for n in range(len(content))]
    for one in damaged:
        path.write_bytes(one)
        with pytest.raises(StorageError, match="5005"):
            read_snapshot(path)


@pytest.mark.parametrize(
    ("missing", "present", "code"),
    [
        ("state", ("log",), "5007"),
        ("log", ("state",), "5007"),
        ("state", ("snapshot",), "5007"),
    ],
)
def test_folder_that_lost_files_is_refused(
    tmp_path: Path, missing: str, present: tuple[str, ...], code: str
) -> None:
    """Guards against voting again after a part of the folder was lost."""
    storage = ReplicaStorage(tmp_path, "a")
    storage.open()
    storage.close()
    for name in present:
        if name != "state":
            (tmp_path / name).write_bytes(b"x")
    (tmp_path / missing).unlink()
    with pytest.raises(StorageError, match=code):
        storage.open()
