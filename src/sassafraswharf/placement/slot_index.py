"""Index of slots by upstream, updated incrementally from a slot table."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.slot_table import SlotTable


class SlotIndex:
    """Slots per upstream; an update reads only the slots that changed."""

    def __init__(self) -> None:
        self.slots: dict[UpstreamId, set[int]] = {}
        self.owner: dict[int, UpstreamId] = {}
        self._table: SlotTable | None = None
        self._version = 0

    def update(self, table: SlotTable) -> None:
        """Apply the changes of the table since the last call."""
        if table is not self._table:
            # Restoring a snapshot replaces the table object.
            self.__init__()  # type: ignore[misc]
            self._table = table
        for slot in table.changed_since(self._version):
            self._put(slot, table.holding(slot).upstream)
        self._version = table.version

    def slots_of(self, upstream: UpstreamId) -> Iterable[int]:
        """Return the slots of an upstream."""
        return self.slots.get(upstream, ())

    def _put(self, slot: int, upstream: UpstreamId | None) -> None:
        old = self.owner.get(slot)
        if old == upstream:
            return
        if old is not None:
            self.slots[old].discard(slot)
        if upstream is None:
            self.owner.pop(slot, None)
            return
        self.owner[slot] = upstream
        self.slots.setdefault(upstream, set()).add(slot)
