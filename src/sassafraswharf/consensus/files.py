"""Atomic replacement of small files, and their checksums."""

from __future__ import annotations

import os
import zlib

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from pathlib import Path


CRC_BYTES = 4


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that created and renamed files are durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new content."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def with_checksum(content: bytes) -> bytes:
    """Return the content with its CRC-32 in front."""
    return zlib.crc32(content).to_bytes(CRC_BYTES, "big") + content


def without_checksum(content: bytes) -> bytes | None:
    """Return the content after the CRC-32, or None if the CRC does not match."""
    body = content[CRC_BYTES:]
    return body if content == with_checksum(body) else None
