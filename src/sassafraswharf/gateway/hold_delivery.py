"""How the upstream beside a router is told what it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections import Counter

    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.gateway.heartbeat import Grant
    from sassafraswharf.gateway.heartbeat import Heartbeat


class HoldDelivery(Protocol):
    """Brings the table's rows to the upstream and their releases back.

    What may be held, and for how long, is decided by ``KeyHolds`` alone. ``outcomes``
    counts how calls to the upstream ended.
    """

    outcomes: Counter[str]

    def start(self) -> None:
        """Start to follow the table."""

    async def stop(self) -> None:
        """Stop following; holds end by themselves."""

    async def answer(self, beat: Heartbeat, arrived_at: float) -> Grant | None:
        """Return what the answer to a heartbeat grants, ``None`` for nothing."""

    def refused_rows(self) -> tuple[HeldRow, ...]:
        """Return rows that the upstream refuses, as it has seen a newer fence."""
