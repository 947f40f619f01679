"""Bounded history of configuration revisions and their documents."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_REVISIONS: Final = 128
MAX_BYTES: Final = 4_194_304


class RevisionRecord(NamedTuple):
    """One accepted change and the document that it put in force."""

    revision: int
    change_id: str
    author: str
    submitted_at: float
    document: bytes


class RevisionHistory:
    """Revisions in ascending order, bounded by their number and their bytes.

    The newest revision is always held.
    """

    def __init__(self, records: Iterable[RevisionRecord] = ()) -> None:
        """Start with the records of a snapshot, oldest first."""
        self.records = deque(records)
        self.size_bytes = sum(len(record.document) for record in self.records)

    def add(self, record: RevisionRecord) -> None:
        """Append the newest revision and drop the oldest ones beyond the limits."""
        self.records.append(record)
        self.size_bytes += len(record.document)
        while len(self.records) > 1 and self._is_too_large():
            self.size_bytes -= len(self.records.popleft().document)

    def find(self, revision: int) -> RevisionRecord | None:
        """Return the record of a revision, or None if it is not held."""
        if not self.records:
            return None
        # Each accepted change increments the revision by one: there are no gaps.
        position = revision - self.records[0].revision
        return self.records[position] if 0 <= position < len(self.records) else None

    @property
    def newest(self) -> RevisionRecord | None:
        """The record in force, or None before the first change."""
        return self.records[-1] if self.records else None

    def _is_too_large(self) -> bool:
        return len(self.records) > MAX_REVISIONS or self.size_bytes > MAX_BYTES
