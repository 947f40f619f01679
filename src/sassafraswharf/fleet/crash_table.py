"""Counts the upstream crashes during which each request was running."""

from __future__ import annotations

import zlib

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.fleet.sync import Suspect


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.fleet.sync import CrashReport
    from sassafraswharf.fleet.values import Instance


SUSPICION_S: Final = 60.0
"""A suspect without another crash is removed after this time."""
MAX_SUSPECTS: Final = 256


class CrashTable:
    """Counts, for each request, the upstream incarnations that crashed while it ran.

    Routers repeat their reports, so a crash counts once per incarnation. The table
    is in the leader's memory only: a new leader rebuilds it from repeated reports.
    A request that was answered anywhere can't become a suspect again for a minute.
    Otherwise a popular lookup, which runs during every crash, would be refused.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self.crashed_instances: dict[bytes, set[Instance]] = {}
        self.seen_at: dict[bytes, float] = {}
        self.answered_at: dict[bytes, float] = {}

    def on_reports(
        self, crashes: Iterable[CrashReport], answered: Iterable[bytes], now: float
    ) -> None:
        """Process the crash reports of one router."""
        for digest in answered:
            self.answered_at[digest] = now
            self._forget(digest)
        for instance, digests in crashes:
            for digest in digests:
                if digest not in self.answered_at:
                    self._count(digest, instance, now)

    def suspects(self, now: float) -> tuple[Suspect, ...]:
        """Return the requests that were running in recent crashes."""
        limit = now - SUSPICION_S
        for digest in [one for one, at in self.seen_at.items() if at < limit]:
            self._forget(digest)
        self.answered_at = {
            one: at for one, at in self.answered_at.items() if at >= limit
        }
        return tuple(
            Suspect(one, len(instances))
            for one, instances in self.crashed_instances.items()
        )

    def _count(self, digest: bytes, instance: Instance, now: float) -> None:
        instances = self.crashed_instances.setdefault(digest, set())
        if instance in instances:
            return
        instances.add(instance)
        self.seen_at[digest] = now
        if len(self.crashed_instances) > MAX_SUSPECTS:
            fewest = min(
                self.crashed_instances, key=lambda one: len(self.crashed_instances[one])
            )
            self._forget(fewest)

    def _forget(self, digest: bytes) -> None:
        self.crashed_instances.pop(digest, None)
        self.seen_at.pop(digest, None)


def checksum(suspects: Iterable[Suspect]) -> int:
    """Return a checksum of a list of suspects, 0 for an empty one.

    >>> checksum(())
    0
    """
    text = b"".join(digest + bytes([count & 0xFF]) for digest, count in suspects)
    return zlib.crc32(text)
