"""Assigns orphaned slots, which no available upstream owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.placement.move_targets import MoveTargets
from sassafraswharf.placement.values import Move


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.placement.balance import Balance


def place_orphans(
    table: SlotTable,
    orphans: Sequence[int],
    balance: Balance,
    planned: Mapping[int, UpstreamId],
) -> list[Move]:
    """Return an owner for every orphaned slot.

    The target of a planned move comes first, then the previous upstream if it
    is available again, then the upstreams with the lowest utilisation. Cold
    slots are assigned in ranges, which keeps the table's runs long.
    """
    available = {b.upstream: b for b in balance.bins if b.available}
    if not available:
        return []
    moves: list[Move] = []
    cold: list[int] = []
    hot: list[int] = []
    for slot in orphans:
        wanted = planned.get(slot) or table.holding(slot).upstream
        target = available.get(wanted) if wanted is not None else None
        if target is not None:
            moves.append(Move(slot, None, target.upstream))
            balance.add(target, balance.load_of(slot))
        elif slot in balance.slot_loads:
            hot.append(slot)
        else:
            cold.append(slot)
    moves += _place_hot(hot, balance)
    moves += _place_cold(cold, balance)
    return moves


def _place_hot(slots: list[int], balance: Balance) -> list[Move]:
    targets = MoveTargets(balance.bins)
    moves = []
    for slot in sorted(slots, key=lambda slot: -balance.load_of(slot)):
        load = balance.load_of(slot)
        target = targets.least_utilised_with(load)
        balance.add(target, load)
        targets.on_load_change(target)
        moves.append(Move(slot, None, target.upstream))
    return moves


def _place_cold(slots: list[int], balance: Balance) -> list[Move]:
    """Assign ranges that raise the upstreams to a common utilisation."""
    if not slots:
        return []
    load = balance.cold_load
    shares = _shares(len(slots) * load, balance)
    moves: list[Move] = []
    given = 0.0
    position = 0
    for number, share in shares:
        target = balance.bins[number]
        given += share / load
        end = min(len(slots), round(given))
        moves += [Move(slot, None, target.upstream) for slot in slots[position:end]]
        balance.add(target, load * (end - position))
        position = end
    last = balance.bins[shares[-1][0]]
    moves += [Move(slot, None, last.upstream) for slot in slots[position:]]
    balance.add(last, load * (len(slots) - position))
    return moves


def _shares(load: float, balance: Balance) -> list[tuple[int, float]]:
    """Return the load to add to each upstream to reach the lowest common level."""
    bins = sorted(
        (b for b in balance.bins if b.available), key=lambda b: b.load / b.speed
    )
    speed = filled = 0.0
    level = 0.0
    for count, item in enumerate(bins, 1):
        speed += item.speed
        filled += item.load
        level = (load + filled) / speed
        if count == len(bins) or level <= bins[count].load / bins[count].speed:
            break
    chosen = [b for b in bins[:count] if level * b.speed > b.load]
    return [(b.position, level * b.speed - b.load) for b in chosen]
