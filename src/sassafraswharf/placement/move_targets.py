"""Selects the least utilised upstreams as targets of moves."""

from __future__ import annotations

import heapq
import math

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.placement.balance import Bin


class MoveTargets:
    """The least utilised upstream of each speed class.

    A hot slot raises the utilisation of a slow upstream more than that of a
    fast one, so the least utilised upstream of all is not always the best
    target. Speeds within a factor of 2 form one class, so that there are few
    targets to compare.
    """

    def __init__(self, bins: Sequence[Bin]) -> None:
        self._bins = bins
        self._heaps: dict[int, list[tuple[float, int]]] = {}
        for item in bins:
            if item.available:
                heap = self._heaps.setdefault(_class_of(item), [])
                heap.append((item.excess, item.position))
        for heap in self._heaps.values():
            heapq.heapify(heap)

    def on_load_change(self, item: Bin) -> None:
        """Update the heap after the load of an upstream has changed."""
        if item.available:
            heap = self._heaps[_class_of(item)]
            heapq.heappush(heap, (item.excess, item.position))

    def least_utilised(self) -> list[Bin]:
        """Return the least utilised upstream of each class."""
        return [self._top(heap) for heap in self._heaps.values()]

    def least_utilised_with(self, load: float) -> Bin:
        """Return the upstream that is least utilised once it has the load."""
        return min(
            self.least_utilised(), key=lambda item: item.excess + load / item.speed
        )

    def _top(self, heap: list[tuple[float, int]]) -> Bin:
        # An outdated entry is skipped; the heap also has a current one.
        while heap[0][0] != self._bins[heap[0][1]].excess:
            heapq.heappop(heap)
        return self._bins[heap[0][1]]


def _class_of(item: Bin) -> int:
    return math.floor(math.log2(item.speed))
