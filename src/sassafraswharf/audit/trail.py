"""A bounded audit trail of changes."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_ENTRIES = 2_000


class AuditEntry(NamedTuple):
    """One change: ``at`` is wall-clock time in seconds since the epoch.

    ``revision`` is the configuration revision for changes of the
    configuration and the log index for all others. ``code`` is the result.
    """

    at: float
    actor: str
    action: str
    subject: str
    revision: int
    code: int


class AuditTrail:
    """The newest entries; the oldest is dropped when the trail is full."""

    def __init__(
        self, entries: Iterable[AuditEntry] = (), max_entries: int = MAX_ENTRIES
    ) -> None:
        self.entries: deque[AuditEntry] = deque(entries, maxlen=max_entries)

    def record(self, entry: AuditEntry) -> None:
        """Append an entry."""
        self.entries.append(entry)

    def newest(self, count: int) -> list[AuditEntry]:
        """Return up to ``count`` entries, the newest first."""
        return list(islice(reversed(self.entries), count))
