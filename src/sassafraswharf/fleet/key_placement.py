"""Assigns key ranges of a service to upstreams and rebalances them by load."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.fleet.fleet_table import merge_rows
from sassafraswharf.fleet.values import NO_INSTANCE


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sassafraswharf.fleet.key_weights import KeyWeights
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import KeyRow

    _RowTest = Callable[[KeyRow], bool]


MIN_SOURCE_UTILISATION = 0.45
"""Utilisation below which no requests queue at an upstream, so no keys move away."""
MIN_UTILISATION_GAP = 0.15
"""Smallest difference in utilisation between source and target of a move."""
MIN_MOVE_SHARE = 0.02
MAX_CONCURRENT_MOVES = 10
"""Moves of key ranges of one service that may be in progress at a time."""
NEW_UPSTREAM_SHARE = 0.6
"""Part of its fair share that a new upstream gets first, while its caches are
cold."""
MAX_ROWS_PER_UPSTREAM = 64
"""The response to a heartbeat is limited to 4 KiB, which holds about 90 rows."""


class Candidate(NamedTuple):
    """An upstream that may own keys, and the requests per second it can serve."""

    instance: Instance
    capacity: float


class KeyPlacement:
    """Plans the rows of one service from key weights and candidate owners.

    The fair share of an upstream is the total weight in proportion to its
    capacity. Keys that move count as load of their target.
    """

    def __init__(
        self,
        rows: Sequence[KeyRow],
        candidates: Sequence[Candidate],
        weights: KeyWeights,
    ) -> None:
        """Compute the load that each candidate has or is about to get."""
        self.rows = list(rows)
        self.weights = weights
        self.candidates = {one.instance: one for one in candidates}
        self.loads = dict.fromkeys(self.candidates, 0.0)
        for row in self.rows:
            holder = row.target if row.is_moving else row.owner
            if holder in self.loads:
                self.loads[holder] += weights.weight_between(row.first, row.last)
        total = weights.weight_between(self.rows[0].first, self.rows[-1].last)
        capacity = sum(one.capacity for one in candidates)
        self.fair_shares = {
            one.instance: total * one.capacity / capacity for one in candidates
        }

    def assign_free_rows(self) -> bool:
        """Assign keys without an owner to candidates; return whether there were any."""
        return self._assign_rows(lambda row: row.is_free, moving=False)

    def evacuate(self, leaving: set[Instance]) -> bool:
        """Start to move all keys of the upstreams in ``leaving``."""
        return self._assign_rows(
            lambda row: row.owner in leaving and not row.is_moving, moving=True
        )

    def _assign_rows(self, selects: _RowTest, *, moving: bool) -> bool:
        if not self.candidates:
            return False
        changed: list[KeyRow] = []
        done = False
        for row in self.rows:
            if not selects(row):
                changed.append(row)
                continue
            done = True
            for first, last, target in self._divide(row.first, row.last):
                piece = row._replace(first=first, last=last)
                changed.append(
                    piece._replace(target=target)
                    if moving
                    else piece._replace(
                        owner=target, fence=0, target=NO_INSTANCE, handover_token=""
                    )
                )
        self.rows = changed
        return done

    def _divide(self, first: int, last: int) -> list[tuple[int, int, Instance]]:
        """Split keys into runs, each for the candidate with the least relative load."""
        pieces: list[tuple[int, int, Instance]] = []
        while first <= last:
            target = min(self.loads, key=self._relative_load)
            room = self.fair_shares[target] - self.loads[target]
            end = self.weights.last_key_within(first, last, max(room, 0.0))
            rest = self.weights.weight_between(end + 1, last) if end < last else 0.0
            if end < first or rest < MIN_MOVE_SHARE * self.fair_shares[target]:
                end = last if end >= first else first
            self.loads[target] += self.weights.weight_between(first, end)
            pieces.append((first, end, target))
            first = end + 1
        return pieces

    def _relative_load(self, instance: Instance) -> float:
        return self.loads[instance] / self.fair_shares[instance]

    def fill_new_upstream(self, owning: set[Instance]) -> bool:
        """Start to move keys to a candidate that owns none."""
        for instance in self.candidates:
            if instance in owning or self.loads[instance] > 0:
                continue
            wanted = NEW_UPSTREAM_SHARE * self.fair_shares[instance]
            source = max(self.loads, key=self._relative_load)
            if source == instance:
                return False
            part = min(wanted, self.loads[source] / 2)
            return self._move(source, instance, part)
        return False

    def rebalance(self) -> bool:
        """Start to move keys from the most to the least utilised candidates."""
        moved = False
        for _ in range(MAX_CONCURRENT_MOVES - sum(row.is_moving for row in self.rows)):
            if len(self.candidates) < 2 or not self._move_from_busiest():
                break
            moved = True
        return moved

    def _move_from_busiest(self) -> bool:
        """Start one move that evens out the utilisation of two candidates."""
        sources = sorted(self.candidates, key=self._utilisation, reverse=True)
        target = sources[-1]
        for source in sources[:-1]:
            gap = self._utilisation(source) - self._utilisation(target)
            if (
                self._utilisation(source) < MIN_SOURCE_UTILISATION
                or gap < MIN_UTILISATION_GAP
            ):
                return False
            capacities = (
                self.candidates[source].capacity,
                self.candidates[target].capacity,
            )
            part = gap / (1 / capacities[0] + 1 / capacities[1])
            part /= self.weights.rate_of(1.0)
            if part < MIN_MOVE_SHARE * self.fair_shares[source]:
                return False
            if self._move(source, target, part):
                return True
        return False

    def service_utilisation(self) -> float:
        """Return the share of all slots that the load of the service keeps busy."""
        whole = self.weights.weight_between(self.rows[0].first, self.rows[-1].last)
        capacity = sum(one.capacity for one in self.candidates.values())
        return self.weights.rate_of(whole) / capacity if capacity else float("inf")

    def utilisation_by_upstream(self) -> dict[str, float]:
        """Return the share of its slots that each candidate's load keeps busy."""
        return {
            instance.name: round(self._utilisation(instance), 2)
            for instance in self.candidates
        }

    def _utilisation(self, instance: Instance) -> float:
        """Return the share of the slots that the load keeps busy."""
        rate = self.weights.rate_of(self.loads[instance])
        return rate / self.candidates[instance].capacity

    def _move(self, source: Instance, target: Instance, weight: float) -> bool:
        """Start to move a run of keys of about this weight."""
        owned = [row for row in self.rows if row.owner == source and not row.is_moving]
        if len(owned) > MAX_ROWS_PER_UPSTREAM:
            return False
        best: tuple[int, int, KeyRow] | None = None
        for row in owned:
            run = self.weights.shortest_run(row.first, row.last, weight)
            if (
                run is None
                and self.weights.weight_between(row.first, row.last) >= weight
            ):
                end = self.weights.last_key_within(row.first, row.last, weight)
                run = (row.first, end) if end >= row.first else None
            if run and (best is None or run[1] - run[0] < best[1] - best[0]):
                best = (*run, row)
        if best is None:
            best = self._heaviest_row(owned, weight)
        if best is None:
            return False
        first, last, row = best
        pieces = [row._replace(first=first, last=last, target=target)]
        if row.first < first:
            pieces.insert(0, row._replace(last=first - 1))
        if last < row.last:
            pieces.append(row._replace(first=last + 1))
        position = self.rows.index(row)
        self.rows[position : position + 1] = pieces
        moved = self.weights.weight_between(first, last)
        self.loads[source] -= moved
        self.loads[target] += moved
        return True

    def _heaviest_row(
        self, rows: Sequence[KeyRow], weight: float
    ) -> tuple[int, int, KeyRow] | None:
        """Return the heaviest whole row of at most a weight, with its bounds.

        After many moves an upstream may own many small rows, each lighter than
        the wanted move.
        """
        weighed = [
            (self.weights.weight_between(row.first, row.last), row.first, row)
            for row in rows
        ]
        within = [one for one in weighed if one[0] <= weight]
        if not within:
            return None
        heaviest, _, row = max(within)
        if heaviest < MIN_MOVE_SHARE * self.fair_shares[row.owner]:
            return None
        return row.first, row.last, row

    def result(self) -> tuple[KeyRow, ...]:
        """Return the planned rows, merged where neighbours agree."""
        return merge_rows(self.rows)
