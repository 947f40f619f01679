"""Simulates a folder on a disk that loses unsynced writes at a power loss."""

from __future__ import annotations

import os
import stat

from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple
from unittest import mock


if TYPE_CHECKING:
    import random

    from collections.abc import Iterator


WRITE_OUTCOMES = ("present", "missing", "torn")


class ProcessEndedError(Exception):
    """The simulated process ends at this call."""


class Write(NamedTuple):
    """An unsynced change of a file; ``data`` is None for a truncation."""

    offset: int
    data: bytes | None


class FaultyFolder:
    """Intercepts system calls on one folder and simulates a power loss.

    Files are identified by their inode. A file that is replaced as a whole is
    written and synced under another name first, which needs no model: only the
    rename can be lost.
    """

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.folder = folder
        self.rng = rng
        self.synced: dict[int, bytes] = {}
        self.unsynced: dict[int, list[Write]] = {}
        self.names: dict[str, int] = {}
        self.renamed: dict[str, list[int]] = {}
        self.calls_left: int | None = None
        # An inode number is not reused while the file is open.
        self.open_files: list[int] = []

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Patch the system calls of the storage to go through this model."""
        replaced = {"pwrite", "ftruncate", "fsync", "fdatasync"}
        originals = {name: getattr(os, name) for name in replaced}
        rename = Path.replace

        def pwrite(file: int, data: bytes, offset: int) -> int:
            self.record_write(file, Write(offset, bytes(data)))
            return int(originals["pwrite"](file, data, offset))

        def ftruncate(file: int, size: int) -> None:
            self.record_write(file, Write(size, None))
            originals["ftruncate"](file, size)

        def sync(file: int) -> None:
            self.count_call()
            originals["fsync"](file)
            self.on_sync(file)

        def replace(path: Path, target: Path) -> Path:
            self.count_call()
            self.renamed.setdefault(target.name, []).append(path.stat().st_ino)
            return rename(path, target)

        with (
            mock.patch.object(os, "pwrite", pwrite),
            mock.patch.object(os, "ftruncate", ftruncate),
            mock.patch.object(os, "fsync", sync),
            mock.patch.object(os, "fdatasync", sync),
            mock.patch.object(Path, "replace", replace),
        ):
            yield

    def count_call(self) -> None:
        """End the process before the call at which ``calls_left`` is 0."""
        if self.calls_left is None:
            return
        if self.calls_left == 0:
            raise ProcessEndedError
        self.calls_left -= 1

    def record_write(self, file: int, write: Write) -> None:
        self.count_call()
        self.unsynced.setdefault(os.fstat(file).st_ino, []).append(write)

    def on_sync(self, file: int) -> None:
        status = os.fstat(file)
        if stat.S_ISDIR(status.st_mode):
            if status.st_ino == self.folder.stat().st_ino:
                self.names.update((name, new[-1]) for name, new in self.renamed.items())
                self.renamed.clear()
            return
        self.unsynced.pop(status.st_ino, None)
        if status.st_ino not in self.synced:
            self.open_files.append(os.dup(file))
        self.synced[status.st_ino] = Path(f"/proc/self/fd/{file}").read_bytes()

    def lose_power(self) -> None:
        """Keep synced content and a random part of the unsynced writes."""
        names: dict[str, int | None] = dict(self.names)
        for name, inodes in self.renamed.items():
            names[name] = self.rng.choice([names.get(name), *inodes])
        contents = {
            name: self.content(inode)
            for name, inode in names.items()
            if inode is not None
        }
        for path in list(self.folder.iterdir()):
            path.unlink()
        self.synced, self.unsynced = {}, {}
        self.names, self.renamed = {}, {}
        self.close()
        for name, content in contents.items():
            path = self.folder / name
            path.write_bytes(content)
            file = os.open(path, os.O_RDONLY)
            self.open_files.append(file)
            inode = os.fstat(file).st_ino
            self.names[name] = inode
            self.synced[inode] = content

    def close(self) -> None:
        while self.open_files:
            os.close(self.open_files.pop())

    def content(self, inode: int) -> bytes:
        content = bytearray(self.synced[inode])
        all_lost = self.rng.random() < 0.2
        for offset, data in self.unsynced.get(inode, []):
            fate = "missing" if all_lost else self.rng.choice(WRITE_OUTCOMES)
            if fate == "missing":
                continue
            if data is None:
                del content[offset:]
                continue
            first, last = 0, len(data)
            if fate == "torn":
                first, last = sorted(self.rng.choices(range(last + 1), k=2))
            content.extend(bytes(max(offset + last - len(content), 0)))
            content[offset + first : offset + last] = data[first:last]
        return bytes(content)
