"""Estimated load of the slots that have no individual load report."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.placement.slot_index import SlotIndex
    from sassafraswharf.placement.values import UpstreamLoad


SMOOTHING_TIME_S = 20.0
MAX_MEAN_RATIO = 4.0
MIN_COLD_LOAD_SHARE = 0.05


class ColdLoads:
    """Mean load of a cold slot, overall and per upstream.

    The measured load of an upstream lags behind its number of slots, so its mean
    is smoothed over 20 s. Otherwise the load of slots that have just moved away
    would be attributed to the remaining ones, and more of them would move.
    """

    def __init__(self) -> None:
        self.average = 1.0
        self.means: dict[UpstreamId, float] = {}
        self._updated_at = -math.inf

    def update(
        self,
        index: SlotIndex,
        upstreams: Sequence[UpstreamLoad],
        slot_loads: Mapping[int, float],
        now: float,
    ) -> None:
        """Add new measurements; without any, all cold slots have the same load."""
        hot_load: dict[UpstreamId, float] = {}
        hot_count: dict[UpstreamId, int] = {}
        for slot, load in slot_loads.items():
            owner = index.owner.get(slot)
            if owner is not None:
                hot_load[owner] = hot_load.get(owner, 0.0) + load
                hot_count[owner] = hot_count.get(owner, 0) + 1
        weight = 1.0 - math.exp(-max(0.0, now - self._updated_at) / SMOOTHING_TIME_S)
        self._updated_at = now
        total = measured = 0.0
        slots = 0
        means: dict[UpstreamId, float] = {}
        for item in upstreams:
            name = item.upstream
            count = len(index.slots.get(name, ())) - hot_count.get(name, 0)
            if count <= 0 or item.load <= 0:
                continue
            load = max(0.0, item.load - hot_load.get(name, 0.0))
            old = self.means.get(name, load / count)
            means[name] = old + weight * (load / count - old)
            total += load
            measured += item.load
            slots += count
        self.means = means
        if slots:
            # A minimum above 0 keeps idle slots spread over the upstreams.
            self.average = max(total, MIN_COLD_LOAD_SHARE * measured) / slots
        elif slot_loads:
            self.average = max(min(slot_loads.values()) / 2, 1e-9)
        else:
            self.average = 1.0

    def mean_of(self, upstream: UpstreamId) -> float:
        """Return the mean load of an upstream's cold slots."""
        mean = self.means.get(upstream, self.average)
        return min(
            max(mean, self.average / MAX_MEAN_RATIO), self.average * MAX_MEAN_RATIO
        )
