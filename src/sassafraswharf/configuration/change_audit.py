"""Audit trail of configuration changes: actor, time, content, revision and result."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.codes import ResultCode  # noqa: TC001  msgspec reads the type of the field


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_ENTRIES: Final = 4_096
"""Holds more than a day of changes at 3,900 changes a day."""


class AuditEntry(NamedTuple):
    """One change that was accepted or refused; resends add no entry."""

    log_index: int
    at: float
    actor: str
    action: str
    subject: str
    detail: str
    revision: int
    code: ResultCode


class ChangeAudit:
    """The newest entries, and how many older ones are no longer held."""

    def __init__(self, entries: Iterable[AuditEntry] = (), dropped: int = 0) -> None:
        """Start with the entries of a snapshot, oldest first."""
        self.entries = deque(entries, MAX_ENTRIES)
        self.dropped = dropped

    def add(self, entry: AuditEntry) -> None:
        """Append an entry; beyond the limit the oldest one is dropped."""
        self.dropped += len(self.entries) == MAX_ENTRIES
        self.entries.append(entry)

    def newest(self, limit: int) -> list[AuditEntry]:
        """Return at most ``limit`` entries, the newest last."""
        return list(self.entries)[-limit:] if limit > 0 else []
