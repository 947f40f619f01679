"""How long slots are not served."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Mapping

    from sassafraswharf.cell.counters import Counters
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.ownership.values import Holding


class SlotTime:
    """The slots without an owner and those in handover, as of the last command."""

    def __init__(self) -> None:
        self.orphaned = 0
        self.closing = 0

    def recount(
        self,
        tables: Mapping[ServiceName, SlotTable],
        services: Container[ServiceName],
        is_orphaned: Callable[[Holding], bool],
    ) -> None:
        """Count the slots of all services that are configured."""
        self.orphaned = self.closing = 0
        for name, table in tables.items():
            if name not in services:
                continue
            for holding, slots in table.holdings():
                if is_orphaned(holding):
                    self.orphaned += slots
                elif holding.closing:
                    self.closing += slots

    def add(self, counters: Counters, elapsed_s: float) -> Counters:
        """Return the counters after this state has lasted some time."""
        return counters._replace(
            unavailable_slot_s=counters.unavailable_slot_s + elapsed_s * self.orphaned,
            closing_slot_s=counters.closing_slot_s + elapsed_s * self.closing,
        )
