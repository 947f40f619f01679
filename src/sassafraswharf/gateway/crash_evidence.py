"""Attributes crashes of upstreams to requests, and quarantines those that recur."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.fleet.crash_table import checksum
from sassafraswharf.fleet.sync import CrashReport
from sassafraswharf.quarantine.local_quarantine import request_digest


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafraswharf.fleet.sync import CrashReports
    from sassafraswharf.fleet.sync import Suspect
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.gateway.work import Work


MAX_LOST_REQUESTS: Final = 64
MAX_REPORTS: Final = 32
MAX_HARMLESS_REQUESTS: Final = 256
REPORT_PERIOD_S: Final = 30.0
"""Reports are resent for this long, so that a new leader gets them too."""
QUARANTINE_CRASHES: Final = 3
"""Crashes after which a request is rejected. Two may coincide with a request by
chance, when many upstreams of a service crash at once and it is retried."""


class CrashEvidence:
    """Attributes crashes to lost requests, and holds the fleet's suspects.

    A request is reported with a crash if its connection was lost, the upstream
    has answered nothing since, and its process has ended. A suspect that any
    upstream answers is harmless, which is reported as well.
    """

    def __init__(self) -> None:
        """Start with no crash recorded."""
        self.lost: deque[Work] = deque(maxlen=MAX_LOST_REQUESTS)
        self.reports: deque[tuple[float, CrashReport]] = deque(maxlen=MAX_REPORTS)
        self.harmless: dict[bytes, float] = {}
        self.suspects: dict[bytes, int] = {}
        self.checksum = 0
        self.on_crash: Callable[[Instance, int], None] = lambda *_: None

    # The upstream of this host.

    def on_lost(self, work: Work) -> None:
        """Record a request whose connection was lost after it was sent."""
        # The rest would keep the beginning of its body in memory.
        self.lost.append(work._replace(rest=None))

    def on_answer(self) -> None:
        """Clear the lost requests, since the upstream still answers."""
        self.lost.clear()

    def on_end(self, instance: Instance, now: float) -> None:
        """Report the lost requests with the end of an instance."""
        if self.lost:
            digests = tuple({digest_of(work) for work in self.lost})
            self.reports.append((now, CrashReport(instance, digests)))
        self.on_crash(instance, len(self.lost))
        self.lost.clear()

    # The fleet.

    def take_suspects(self, suspects: Iterable[Suspect]) -> None:
        """Replace the suspects with the leader's list."""
        known = tuple(suspects)
        self.suspects = {one.digest: one.crashes for one in known}
        self.checksum = checksum(known)

    def crashes_of(self, work: Work) -> int:
        """Return how many crashes are attributed to a request."""
        if not self.suspects:
            return 0
        return self.suspects.get(digest_of(work), 0)

    def is_quarantined(self, work: Work) -> bool:
        """Return whether a request is quarantined."""
        return self.crashes_of(work) >= QUARANTINE_CRASHES

    def on_success(self, work: Work, now: float) -> None:
        """Record a suspect that was answered as harmless."""
        if not self.suspects:
            return
        digest = digest_of(work)
        if digest in self.suspects:
            self.harmless[digest] = now
            if len(self.harmless) > MAX_HARMLESS_REQUESTS:
                del self.harmless[next(iter(self.harmless))]

    def report(self, now: float) -> CrashReports:
        """Return the recent crashes and the recent harmless requests."""
        limit = now - REPORT_PERIOD_S
        while self.reports and self.reports[0][0] < limit:
            self.reports.popleft()
        self.harmless = {one: at for one, at in self.harmless.items() if at >= limit}
        return tuple(one for _, one in self.reports), tuple(self.harmless)


def digest_of(work: Work) -> bytes:
    """Return a digest that a request and its resends from any host share.

    Streamed requests are told apart by the beginning of their bodies only.
    """
    key = "" if work.key is None else str(work.key)
    content = work.stream_digest or work.body
    return request_digest(work.method, work.target, key, content)
