"""Interface for granting holds to the local upstream and collecting releases."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections import Counter

    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.gateway.heartbeat import Grant
    from sassafraswharf.gateway.heartbeat import Heartbeat


class HoldDelivery(Protocol):
    """Grants the upstream its rows of the fleet table and collects their releases.

    Only ``KeyHolds`` decides what may be held and for how long. ``outcomes`` counts
    calls to the upstream by outcome.
    """

    outcomes: Counter[str]

    def start(self) -> None:
        """Start following the fleet table."""

    async def stop(self) -> None:
        """Stop following the fleet table; holds expire on their own."""

    async def answer(self, beat: Heartbeat, arrived_at: float) -> Grant | None:
        """Return the grant in the response to a heartbeat, ``None`` for no grant."""

    def refused_rows(self) -> tuple[HeldRow, ...]:
        """Return rows that the upstream rejects because it has seen a newer fence."""
