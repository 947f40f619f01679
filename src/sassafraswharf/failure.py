"""The error value of an operation that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from sassafraswharf.codes import ResultCode


class Failure(NamedTuple):
    """A numbered reason with a message for people.

    >>> from sassafraswharf.codes import ResultCode
    >>> str(Failure(ResultCode.NOT_OWNER, "slot 12 belongs to diary-3"))
    '[3102] slot 12 belongs to diary-3'
    """

    code: ResultCode
    message: str

    def __str__(self) -> str:
        return f"[{int(self.code)}] {self.message}"
