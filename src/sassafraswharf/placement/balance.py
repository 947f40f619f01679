"""Estimated load per upstream, and how much imbalance a move removes."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.placement.cold_loads import ColdLoads
    from sassafraswharf.placement.slot_index import SlotIndex
    from sassafraswharf.placement.values import UpstreamLoad


MIN_SPEED = 1e-6
MAX_HOT_CANDIDATES = 64


class Bin:
    """The load and capacity of one upstream during planning."""

    __slots__ = (
        "available",
        "cold_load",
        "excess",
        "load",
        "position",
        "speed",
        "upstream",
    )

    def __init__(self, position: int, load: UpstreamLoad) -> None:
        self.position = position
        self.upstream = load.upstream
        self.speed = max(load.speed, MIN_SPEED)
        self.available = load.available
        self.load = 0.0
        self.cold_load = 0.0
        self.excess = 0.0


class Balance:
    """Loads of all upstreams of a service, updated with each planned move.

    Slots that are not in ``slot_loads`` have the mean load of the cold slots of
    their upstream. Without any measured load all slots have the same load.
    """

    def __init__(
        self,
        index: SlotIndex,
        upstreams: Sequence[UpstreamLoad],
        slot_loads: Mapping[int, float],
        table: SlotTable,
        orphans: Sequence[int],
        planned: Mapping[int, UpstreamId],
        cold_loads: ColdLoads,
    ) -> None:
        self.index = index
        self.slot_loads = slot_loads
        self.slot_count = table.slot_count
        self.cold_load = cold_loads.average
        self.bins = [Bin(n, load) for n, load in enumerate(upstreams)]
        self.by_upstream = {item.upstream: item for item in self.bins}
        for item in self.bins:
            item.cold_load = cold_loads.mean_of(item.upstream)
        speed = sum(item.speed for item in self.bins if item.available)
        self.total_speed = speed or 1.0
        self._fill(orphans, planned)
        self.total = sum(item.load for item in self.bins)
        self.total += sum(self.load_of(slot) for slot in orphans)
        self.mean = self.total / self.total_speed
        for item in self.bins:
            self.add(item, 0.0)
        self._sorted: dict[int, list[int]] = {}
        self._hot = self._hot_slots()

    def load_of(self, slot: int) -> float:
        """Return the estimated load of a slot."""
        load = self.slot_loads.get(slot)
        if load is not None:
            return load
        owner = self.index.owner.get(slot)
        item = self.by_upstream.get(owner) if owner is not None else None
        return item.cold_load if item is not None else self.cold_load

    def add(self, item: Bin, load: float) -> None:
        """Add load to an upstream."""
        item.load += load
        # An upstream that is not available has a fair share of 0.
        fair = self.mean * item.speed if item.available else 0.0
        item.excess = (item.load - fair) / item.speed if item.available else 0.0

    def move(self, slot: int, source: Bin, target: Bin) -> None:
        """Move the load of a slot."""
        load = self.load_of(slot)
        self.add(source, -load)
        self.add(target, load)

    def gain(self, load: float, source: Bin, target: Bin) -> float:
        """Return how much imbalance a move removes.

        The unit is the change of the weighted variance of relative utilisation,
        multiplied by the number of slots, so that a value does not depend on
        the size of the table.
        """
        part = load / self.mean if self.mean else 0.0
        before = _square(source, 0.0, self.mean) + _square(target, 0.0, self.mean)
        after = _square(source, -part, self.mean) + _square(target, part, self.mean)
        return (before - after) * self.slot_count / self.total_speed

    def gain_bound(self, source: Bin, target: Bin) -> float:
        """Return an upper bound of the gain of any move, without reading slots."""
        if not self.mean:
            return 0.0
        slope = (source.load / source.speed - target.load / target.speed) / self.mean
        hot = self._hot.get(source.upstream)
        hottest = self.load_of(hot[0]) if hot else 0.0
        part = max(hottest, source.cold_load) / self.mean
        best = slope / (1 / source.speed + 1 / target.speed)
        return 2 * min(part, best) * slope * self.slot_count / self.total_speed

    def candidates(
        self, source: Bin, excluded: set[int], movable: Callable[[int], bool]
    ) -> Iterable[int]:
        """Return the hot slots of an upstream and one of its cold slots.

        All cold slots have the same estimated load. They are taken from the
        highest number down, so that neighbours move together and runs stay long.
        """
        for slot in self._hot.get(source.upstream, ()):
            if slot not in excluded and movable(slot):
                yield slot
        slots = self._sorted.get(source.position)
        if slots is None:
            slots = sorted(self.index.slots_of(source.upstream))
            self._sorted[source.position] = slots
        while slots:
            slot = slots[-1]
            if slot not in excluded and slot not in self.slot_loads and movable(slot):
                yield slot
                return
            slots.pop()

    def _fill(self, orphans: Sequence[int], planned: Mapping[int, UpstreamId]) -> None:
        for item in self.bins:
            count = len(self.index.slots.get(item.upstream, ()))
            item.load = item.cold_load * count
        owner = self.index.owner
        for slot, load in self.slot_loads.items():
            holder = self.by_upstream.get(owner[slot]) if slot in owner else None
            if holder is not None:
                holder.load += load - holder.cold_load
        for slot in orphans:
            self._shift(owner.get(slot), -self.load_of(slot))
        lost = set(orphans) if planned else set()
        for slot, target in planned.items():
            if slot not in lost:
                self._shift(owner.get(slot), -self.load_of(slot))
                self._shift(target, self.load_of(slot))

    def _shift(self, upstream: UpstreamId | None, load: float) -> None:
        item = self.by_upstream.get(upstream) if upstream is not None else None
        if item is not None:
            item.load += load

    def _hot_slots(self) -> dict[UpstreamId, list[int]]:
        hot: dict[UpstreamId, list[int]] = {}
        ordered = sorted(self.slot_loads, key=lambda slot: -self.slot_loads[slot])
        for slot in ordered:
            owner = self.index.owner.get(slot)
            if owner is None:
                continue
            slots = hot.setdefault(owner, [])
            if len(slots) < MAX_HOT_CANDIDATES:
                slots.append(slot)
        return hot


def _square(item: Bin, part: float, mean: float) -> float:
    utilisation = item.load / (item.speed * mean) if mean else 0.0
    deviation = utilisation + part / item.speed - 1.0
    return item.speed * deviation * deviation
