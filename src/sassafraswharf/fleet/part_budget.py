"""Limits the bytes of transfers in flight from the leader to all routers."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


MAX_IN_FLIGHT_BYTES: Final = 2_097_152
"""A link of 170 Mbit/s carries this in 0.1 s. Heartbeats of the control group and
lease renewals share the link and are not delayed for longer."""
PART_EXPIRY_S: Final = 1.2
"""A router times out waiting for a reply after 1.1 s, and reports again."""


class SentPart(NamedTuple):
    """Bytes sent to a router since its last report."""

    size: int
    at: float


class PartBudget:
    """Sends parts to a limited number of routers at a time; the others wait.

    Without a limit on the total, parts for thousands of routers saturate the leader's
    link, each arrives after its timeout, and all are sent again. A part counts until
    its router reports again or must have timed out. A router that gets no part still
    gets its lease. The time is an argument.
    """

    def __init__(self, limit: int = MAX_IN_FLIGHT_BYTES) -> None:
        """Allow ``limit`` bytes in flight, or one part if that is larger."""
        self.limit = limit
        self.sent: dict[str, SentPart] = {}
        self.in_flight_bytes = 0

    def on_report(self, router: str) -> None:
        """Treat a router's report as the acknowledgement of what was sent to it."""
        arrived = self.sent.pop(router, None)
        if arrived is not None:
            self.in_flight_bytes -= arrived.size

    def has_room(self, now: float) -> bool:
        """Return whether another part may be sent."""
        if self.in_flight_bytes >= self.limit:
            self.expire_lost(now)
        return self.in_flight_bytes < self.limit

    def on_sent(self, router: str, size: int, now: float) -> None:
        """Count bytes that are sent to a router."""
        known = self.sent.pop(router, None)
        if known is not None:
            size += known.size
            self.in_flight_bytes -= known.size
        # Ordered by time, so that expiry can stop at the first recent entry.
        self.sent[router] = SentPart(size, now)
        self.in_flight_bytes += size

    def expire_lost(self, now: float) -> None:
        """Stop counting parts whose routers must have timed out."""
        for router, part in list(self.sent.items()):
            if now - part.at < PART_EXPIRY_S:
                return
            self.on_report(router)
