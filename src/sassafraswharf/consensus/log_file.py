"""The log file of a replica.

A record consists of the length of the data, the CRC-32 of everything else, term,
index, kind and data. Records follow each other without gaps. A bit of the kind is
set if the record was written before the preceding record was synced.
"""

from __future__ import annotations

import os
import struct
import zlib

from typing import TYPE_CHECKING

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.files import replace_file
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


LENGTH_AND_CRC = struct.Struct(">II")
FIELDS = struct.Struct(">QQB")
HEADER_BYTES = LENGTH_AND_CRC.size + FIELDS.size
LAST_KIND = max(EntryKind)
CONTINUES = 0x80
KIND_OFFSET = HEADER_BYTES - 1


def encode_record(entry: Entry, *, continues: bool = False) -> bytes:
    """Return the record of an entry.

    ``continues`` is set if the preceding record is not yet synced.
    """
    kind = entry.kind | CONTINUES if continues else entry.kind
    content = FIELDS.pack(entry.term, entry.log_index, kind) + entry.data
    length = len(entry.data)
    crc = zlib.crc32(content, length)
    return LENGTH_AND_CRC.pack(length, crc) + content


def decode_record(data: memoryview, offset: int) -> Entry | None:
    """Return the entry whose record starts at ``offset``, or None if invalid."""
    start = offset + LENGTH_AND_CRC.size
    if offset + HEADER_BYTES > len(data):
        return None
    length, crc = LENGTH_AND_CRC.unpack_from(data, offset)
    end = offset + HEADER_BYTES + length
    if end > len(data):
        return None
    term, index, kind = FIELDS.unpack_from(data, start)
    kind &= ~CONTINUES
    if kind > LAST_KIND or zlib.crc32(data[start:end], length) != crc:
        return None
    body = bytes(data[offset + HEADER_BYTES : end])
    return Entry(index, term, EntryKind(kind), body)


def read_records(content: bytes) -> tuple[list[Entry], int]:
    """Return the entries and the length of the valid part.

    Only the tail may be invalid, because a power loss leaves a part of the last
    writes: each of those since the last sync may be there, missing or cut short.
    A valid record that was written after a sync of an invalid one means that synced
    data has changed, which raises ``StorageError`` with 5003. Damage that affects
    only the last records, those of one sync, can't be told from writes that were
    lost.
    """
    entries: list[Entry] = []
    view = memoryview(content)
    offset = 0
    while offset < len(content):
        entry = decode_record(view, offset)
        if entry is None:
            refuse_later_record(view, offset, entries)
            break
        if entries and not is_successor(entries[-1], entry):
            raise corrupt_log_error(offset, "the record does not continue the log")
        entries.append(entry)
        offset += HEADER_BYTES + len(entry.data)
    return entries, offset


def is_successor(previous: Entry, entry: Entry) -> bool:
    """Return whether an entry may directly follow another one."""
    return entry.log_index == previous.log_index + 1 and entry.term >= previous.term


def refuse_later_record(view: memoryview, offset: int, entries: list[Entry]) -> None:
    """Raise 5003 if the record at ``offset`` was synced before a later one."""
    lowest = entries[-1].log_index + 1 if entries else 1
    lowest_term = entries[-1].term if entries else 0
    for later in range(offset + 1, len(view) - HEADER_BYTES + 1):
        if view[later + KIND_OFFSET] & CONTINUES:
            continue
        entry = decode_record(view, later)
        if entry and entry.log_index >= lowest and entry.term >= lowest_term:
            raise corrupt_log_error(
                offset, f"but record {entry.log_index} at {later} is valid"
            )


def corrupt_log_error(offset: int, reason: str) -> StorageError:
    """Return the error for a corrupt log, code 5003."""
    message = f"log record at byte {offset} is corrupt: {reason}"
    return StorageError(Failure(ResultCode.LOG_CORRUPT, message))


class LogFile:
    """An open log file. Writes are durable after ``sync``."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.entries, self.size = read_records(path.read_bytes())
        self.first_index = self.entries[0].log_index if self.entries else 0
        self.offsets: list[int] = []
        offset = 0
        for entry in self.entries:
            self.offsets.append(offset)
            offset += HEADER_BYTES + len(entry.data)
        self.file = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        self.is_synced = True
        if path.stat().st_size != self.size:
            os.ftruncate(self.file, self.size)
        # A killed process may have left writes that are not yet synced. The entries
        # read here will be acknowledged to a leader, so they must be durable.
        self.sync()

    def append(self, entries: Sequence[Entry]) -> None:
        """Write entries that continue the log."""
        records = [
            encode_record(entry, continues=bool(position) or not self.is_synced)
            for position, entry in enumerate(entries)
        ]
        if not self.offsets:
            self.first_index = entries[0].log_index
        self.is_synced = False
        self.write(b"".join(records))
        for record in records:
            self.offsets.append(self.size)
            self.size += len(record)

    def write(self, content: bytes) -> None:
        """Write at the end; a short write continues or raises."""
        view = memoryview(content)
        offset = self.size
        while view:
            written = os.pwrite(self.file, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, index: int) -> None:
        """Remove the records from ``index`` on.

        The new size is synced before anything is written, because otherwise a
        crash could leave a new record followed by an old one.
        """
        position = max(index - self.first_index, 0)
        if position >= len(self.offsets):
            return
        self.size = self.offsets[position]
        del self.offsets[position:]
        os.ftruncate(self.file, self.size)
        self.sync()

    def rewrite(self, entries: Sequence[Entry]) -> None:
        """Replace all records atomically."""
        records = [encode_record(entry) for entry in entries]
        replace_file(self.path, b"".join(records))
        replaced = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
        os.close(self.file)
        self.file = replaced
        self.is_synced = True
        self.first_index = entries[0].log_index if entries else 0
        self.offsets = []
        self.size = 0
        for record in records:
            self.offsets.append(self.size)
            self.size += len(record)

    def sync(self) -> None:
        """Make all writes durable."""
        os.fdatasync(self.file)
        self.is_synced = True

    def close(self) -> None:
        """Close the file."""
        os.close(self.file)
