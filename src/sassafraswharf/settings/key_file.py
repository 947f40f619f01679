"""Reads the key files that authenticate hosts and operators."""

from __future__ import annotations

import os
import stat

from typing import TYPE_CHECKING
from typing import Final

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from pathlib import Path


MIN_KEY_BYTES: Final = 16
MAX_KEY_BYTES: Final = 64
"""Keyed BLAKE2b accepts at most 64 bytes."""

_GROUP_AND_OTHERS: Final = stat.S_IRWXG | stat.S_IRWXO


def read_key(path: Path) -> Result[bytes, Failure]:
    """Return the key without a trailing line break.

    The file must belong to the user of the process and give no permission to
    its group or to others; otherwise the failure has code 1005.
    """
    try:
        # Without O_NONBLOCK, opening a named pipe would wait for its writer.
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
    except OSError as error:
        return _unusable(path, error.strerror or str(error))
    try:
        return _read_checked(path, descriptor)
    except OSError as error:
        return _unusable(path, error.strerror or str(error))
    finally:
        os.close(descriptor)


def _read_checked(path: Path, descriptor: int) -> Result[bytes, Failure]:
    status = os.fstat(descriptor)
    if not stat.S_ISREG(status.st_mode):
        return _unusable(path, "not a regular file")
    if status.st_uid != os.geteuid():
        return _unusable(path, "owned by another user; use chown")
    if status.st_mode & _GROUP_AND_OTHERS:
        mode = stat.S_IMODE(status.st_mode)
        return _unusable(
            path, f"mode {mode:04o} gives access to others; use chmod 0400"
        )
    key = os.read(descriptor, MAX_KEY_BYTES + 3).rstrip(b"\r\n")
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        return _unusable(
            path, f"a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}"
        )
    return Ok(key)


def _unusable(path: Path, reason: str) -> Err[Failure]:
    return Err(Failure(ResultCode.KEY_FILE_UNUSABLE, f"key file {path}: {reason}"))
