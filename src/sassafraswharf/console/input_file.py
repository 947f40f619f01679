"""Reads the file argument of a command, or standard input."""

from __future__ import annotations

import sys

from pathlib import Path
from typing import Final

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


HYPHEN: Final = "-"
STANDARD_INPUT: Final = "/dev/stdin"


def read_input(file: str) -> Result[str, Failure]:
    """Return the text of the file or of standard input, or code 1001."""
    try:
        if file == STANDARD_INPUT:
            return Ok(sys.stdin.read())
        return Ok(Path(file).read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, f"{file}: {error}"))
