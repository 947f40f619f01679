"""Bounds what a leader sends to all routers at the same time."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


MAX_IN_FLIGHT_BYTES: Final = 2_097_152
"""A link of 170 Mbit/s carries this in 0.1 s, so that what shares it, the heartbeats
of the control group and the leases, is not held up for longer."""
PART_EXPIRY_S: Final = 1.2
"""A router gives up an answer after 1.1 s, and reports anew."""


class SentPart(NamedTuple):
    """Bytes sent to a router that has not reported since."""

    size: int
    at: float


class PartBudget:
    """Lets few routers have parts on their way, the others get theirs later.

    Without a bound on their sum, parts for thousands of routers fill the link of the
    leader, each arrives too late, and all are sent again. A part counts until its
    router reports again or must have given up. A router that gets none still gets its
    lease. The time is an argument.
    """

    def __init__(self, limit: int = MAX_IN_FLIGHT_BYTES) -> None:
        """Allow ``limit`` bytes under way, or one part if that is longer."""
        self.limit = limit
        self.sent: dict[str, SentPart] = {}
        self.in_flight_bytes = 0

    def on_report(self, router: str) -> None:
        """Take a router's report as the arrival of what was sent to it."""
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
        # The newest stand last, so that the lost ones are found first.
        self.sent[router] = SentPart(size, now)
        self.in_flight_bytes += size

    def expire_lost(self, now: float) -> None:
        """Stop counting parts that their routers have given up."""
        for router, part in list(self.sent.items()):
            if now - part.at < PART_EXPIRY_S:
                return
            self.on_report(router)
