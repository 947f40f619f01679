"""Chooses the owners of key ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.fleet.fleet_table import merge_rows
from sassafraswharf.fleet.values import NOBODY


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sassafraswharf.fleet.key_weights import KeyWeights
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import KeyRow

    _RowTest = Callable[[KeyRow], bool]


MIN_BUSY_SHARE = 0.45
"""Share of the slots at work below which nothing waits, so nothing moves."""
MIN_GAP = 0.15
"""Least difference in busy slots between the two upstreams of a move."""
MIN_MOVE_SHARE = 0.02
MAX_MOVES = 10
"""Runs of keys of one service that are on their way at a time."""
FIRST_SHARE = 0.6
"""Share of its fair load that a new upstream is given, while it is still cold."""
MAX_ROWS_PER_UPSTREAM = 64
"""An answer to a heartbeat is bounded to 4 KiB, which holds about 90 rows."""


class Candidate(NamedTuple):
    """An upstream that may own keys, and the requests a second it can serve."""

    instance: Instance
    capacity: float


class KeyPlacement:
    """Plans the rows of one service from weights and candidates.

    An upstream's fair share is the whole weight in proportion to its capacity.
    """

    def __init__(
        self,
        rows: Sequence[KeyRow],
        candidates: Sequence[Candidate],
        weights: KeyWeights,
    ) -> None:
        """Measure the load that each candidate has or will get."""
        self.rows = list(rows)
        self.weights = weights
        self.candidates = {one.instance: one for one in candidates}
        self.loads = dict.fromkeys(self.candidates, 0.0)
        for row in self.rows:
            holder = row.target if row.is_moving else row.owner
            if holder in self.loads:
                self.loads[holder] += weights.between(row.first, row.last)
        total = weights.between(self.rows[0].first, self.rows[-1].last)
        capacity = sum(one.capacity for one in candidates)
        self.shares = {
            one.instance: total * one.capacity / capacity for one in candidates
        }

    def place_free(self) -> bool:
        """Give the keys that nobody owns to candidates; return whether any were."""
        return self._hand_out(lambda row: row.is_free, moving=False)

    def evacuate(self, leaving: set[Instance]) -> bool:
        """Start to move the keys of upstreams that are leaving."""
        return self._hand_out(
            lambda row: row.owner in leaving and not row.is_moving, moving=True
        )

    def _hand_out(self, selects: _RowTest, *, moving: bool) -> bool:
        if not self.candidates:
            return False
        changed: list[KeyRow] = []
        done = False
        for row in self.rows:
            if not selects(row):
                changed.append(row)
                continue
            done = True
            for first, last, taker in self._divide(row.first, row.last):
                piece = row._replace(first=first, last=last)
                changed.append(
                    piece._replace(target=taker)
                    if moving
                    else piece._replace(
                        owner=taker, fence=0, target=NOBODY, handover=""
                    )
                )
        self.rows = changed
        return done

    def _divide(self, first: int, last: int) -> list[tuple[int, int, Instance]]:
        """Cut keys into runs for the candidates that lack most."""
        pieces: list[tuple[int, int, Instance]] = []
        while first <= last:
            taker = min(self.loads, key=self._relative_load)
            room = self.shares[taker] - self.loads[taker]
            end = self.weights.cut(first, last, max(room, 0.0))
            rest = self.weights.between(end + 1, last) if end < last else 0.0
            if end < first or rest < MIN_MOVE_SHARE * self.shares[taker]:
                end = last if end >= first else first
            self.loads[taker] += self.weights.between(first, end)
            pieces.append((first, end, taker))
            first = end + 1
        return pieces

    def _relative_load(self, instance: Instance) -> float:
        return self.loads[instance] / self.shares[instance]

    def welcome(self, owning: set[Instance]) -> bool:
        """Start to give keys to a candidate that owns none."""
        for instance in self.candidates:
            if instance in owning or self.loads[instance] > 0:
                continue
            wanted = FIRST_SHARE * self.shares[instance]
            giver = max(self.loads, key=self._relative_load)
            if giver == instance:
                return False
            part = min(wanted, self.loads[giver] / 2)
            return self._move(giver, instance, part)
        return False

    def relieve(self) -> bool:
        """Start to move keys from busy candidates to the least busy ones."""
        moved = False
        for _ in range(MAX_MOVES - sum(row.is_moving for row in self.rows)):
            if len(self.candidates) < 2 or not self._relieve_busiest():
                break
            moved = True
        return moved

    def _relieve_busiest(self) -> bool:
        """Start one move that makes two candidates equally busy."""
        givers = sorted(self.candidates, key=self._busy_share, reverse=True)
        taker = givers[-1]
        for giver in givers[:-1]:
            gap = self._busy_share(giver) - self._busy_share(taker)
            if self._busy_share(giver) < MIN_BUSY_SHARE or gap < MIN_GAP:
                return False
            capacities = (
                self.candidates[giver].capacity,
                self.candidates[taker].capacity,
            )
            part = gap / (1 / capacities[0] + 1 / capacities[1])
            part /= self.weights.rate_of(1.0)
            if part < MIN_MOVE_SHARE * self.shares[giver]:
                return False
            if self._move(giver, taker, part):
                return True
        return False

    def whole_busy_share(self) -> float:
        """Return the share of all slots that the load of the service keeps at work."""
        whole = self.weights.between(self.rows[0].first, self.rows[-1].last)
        capacity = sum(one.capacity for one in self.candidates.values())
        return self.weights.rate_of(whole) / capacity if capacity else float("inf")

    def busy_shares(self) -> dict[str, float]:
        """Return the share of its slots that each candidate's load keeps at work."""
        return {
            instance.name: round(self._busy_share(instance), 2)
            for instance in self.candidates
        }

    def _busy_share(self, instance: Instance) -> float:
        """Return the share of the slots that the load keeps at work."""
        rate = self.weights.rate_of(self.loads[instance])
        return rate / self.candidates[instance].capacity

    def _move(self, giver: Instance, taker: Instance, weight: float) -> bool:
        """Start to move a run of keys of about this weight."""
        owned = [row for row in self.rows if row.owner == giver and not row.is_moving]
        if len(owned) > MAX_ROWS_PER_UPSTREAM:
            return False
        best: tuple[int, int, KeyRow] | None = None
        for row in owned:
            run = self.weights.densest(row.first, row.last, weight)
            if run is None and self.weights.between(row.first, row.last) >= weight:
                end = self.weights.cut(row.first, row.last, weight)
                run = (row.first, end) if end >= row.first else None
            if run and (best is None or run[1] - run[0] < best[1] - best[0]):
                best = (*run, row)
        if best is None:
            best = self._heaviest_row(owned, weight)
        if best is None:
            return False
        first, last, row = best
        pieces = [row._replace(first=first, last=last, target=taker)]
        if row.first < first:
            pieces.insert(0, row._replace(last=first - 1))
        if last < row.last:
            pieces.append(row._replace(first=last + 1))
        position = self.rows.index(row)
        self.rows[position : position + 1] = pieces
        moved = self.weights.between(first, last)
        self.loads[giver] -= moved
        self.loads[taker] += moved
        return True

    def _heaviest_row(
        self, rows: Sequence[KeyRow], weight: float
    ) -> tuple[int, int, KeyRow] | None:
        """Return the heaviest whole row within a weight, with its bounds.

        After many moves an upstream may own many small rows, none of which has
        the weight of a move.
        """
        weighed = [
            (self.weights.between(row.first, row.last), row.first, row) for row in rows
        ]
        within = [one for one in weighed if one[0] <= weight]
        if not within:
            return None
        heaviest, _, row = max(within)
        if heaviest < MIN_MOVE_SHARE * self.shares[row.owner]:
            return None
        return row.first, row.last, row

    def result(self) -> tuple[KeyRow, ...]:
        """Return the rows as planned."""
        return merge_rows(self.rows)
