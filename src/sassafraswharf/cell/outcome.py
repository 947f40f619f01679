"""The result of applying one command to the cell's state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.codes import ResultCode


if TYPE_CHECKING:
    from collections.abc import Iterable


class Outcome(NamedTuple):
    """What a command did: ``subject`` names what it was about."""

    code: ResultCode
    subject: str
    changed: int
    message: str = ""


def accepted(subject: str, changed: int = 1) -> Outcome:
    """Return the outcome of a command that was applied."""
    return Outcome(ResultCode.OK, subject, changed)


def refused(code: ResultCode, subject: str, message: str) -> Outcome:
    """Return the outcome of a command that changed nothing."""
    return Outcome(code, subject, 0, message)


def subject_of(digests: Iterable[bytes]) -> str:
    """Return the subject of a command about several requests."""
    return " ".join(digest.hex() for digest in digests)
