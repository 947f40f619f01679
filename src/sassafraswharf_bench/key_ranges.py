"""Simulation of key range placement in virtual time, with load reported at once.

Popular keys form clusters that move every few seconds. Requests for a key go to its
owner whether it has capacity or not; requests above its capacity are counted as
overload. A move takes the time of work in progress and a heartbeat,
and near its end no owner holds the keys, so that requests for them are refused.
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import Protocol

from sassafraswharf.fleet.key_placement import Candidate
from sassafraswharf.fleet.key_placement import KeyPlacement
from sassafraswharf.fleet.key_weights import KeyWeights
from sassafraswharf.fleet.sync import KeyLoad
from sassafraswharf.fleet.values import KEY_COUNT
from sassafraswharf.fleet.values import NO_INSTANCE
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow


if TYPE_CHECKING:
    from collections.abc import Sequence


STEP_S: Final = 0.3
"""Routers report their requests about three times a second."""
REBALANCE_STEPS: Final = 2
MOVE_S: Final = 1.2
UNHELD_S: Final = 0.3
"""Part of a move in which no owner holds the keys."""
POPULAR_SHIFT_INTERVAL_S: Final = 6.0
DURATION_S: Final = 30.0
POPULAR_KEYS: Final = 200
POPULAR_SHARE: Final = 0.4
CAPACITY: Final = 100.0


class Owners(Protocol):
    """Assignment of key ranges to owners, updated from the load."""

    rows: tuple[KeyRow, ...]

    def is_held(self, row: KeyRow, now: float) -> bool:
        """Return whether the owner of a row holds its keys."""

    def follow(self, loads: Sequence[KeyLoad], now: float) -> None:
        """Update the ranges from the requests of the last step."""


class EvenRanges:
    """Equal ranges that never change."""

    def __init__(self, owners: Sequence[Instance]) -> None:
        """Give each owner the same number of keys."""
        self.rows = even_rows(owners)

    def is_held(self, _row: KeyRow, _now: float) -> bool:
        """Return True: no key ever moves."""
        return True

    def follow(self, _loads: Sequence[KeyLoad], _now: float) -> None:
        """Keep the ranges."""


class PlacedRanges:
    """Ranges that the leader's placement moves."""

    def __init__(self, owners: Sequence[Instance]) -> None:
        """Start with equal ranges."""
        self.rows = even_rows(owners)
        self.candidates = [Candidate(one, CAPACITY) for one in owners]
        self.weights = KeyWeights()
        self.move_started_at: dict[int, float] = {}
        self.steps = 0

    def is_held(self, row: KeyRow, now: float) -> bool:
        """Return whether the keys have not been released yet."""
        started_at = self.move_started_at.get(row.first, now)
        return not row.is_moving or now - started_at < MOVE_S - UNHELD_S

    def follow(self, loads: Sequence[KeyLoad], now: float) -> None:
        """Complete moves that are due and start new ones."""
        self.weights.add(loads)
        self.weights.refresh(now)
        settled = []
        for row in self.rows:
            started_at = self.move_started_at.setdefault(row.first, now)
            if row.is_moving and now - started_at >= MOVE_S:
                settled.append(KeyRow(row.first, row.last, row.target, 1))
            else:
                settled.append(row)
        placement = KeyPlacement(settled, self.candidates, self.weights)
        self.steps += 1
        if self.steps % REBALANCE_STEPS == 0:
            placement.rebalance()
        self.rows = placement.result()
        moving = {row.first for row in self.rows if row.is_moving}
        self.move_started_at = {
            first: at for first, at in self.move_started_at.items() if first in moving
        }


class Outcome(NamedTuple):
    """Shares of the requests that are not served, and of all keys that moved.

    ``overload`` exceeded the capacity of an owner, ``refused`` were for keys that no
    owner held.
    """

    overload: float
    refused: float
    keys_moved: float

    @property
    def unserved(self) -> float:
        """The share of the requests that are not served."""
        return self.overload + self.refused


def even_rows(owners: Sequence[Instance]) -> tuple[KeyRow, ...]:
    """Return equal ranges of all keys."""
    width = KEY_COUNT // len(owners)
    rows = [
        KeyRow(number * width, (number + 1) * width - 1, owner, 1)
        for number, owner in enumerate(owners)
    ]
    rows[-1] = rows[-1]._replace(last=KEY_COUNT - 1)
    return tuple(rows)


def simulate(owners: Owners, count: int, load: float, seed: int) -> Outcome:
    """Simulate requests at a share ``load`` of the capacity of ``count`` owners."""
    rng = random.Random(seed)
    per_step = round(load * CAPACITY * count * STEP_S)
    popular: list[int] = []
    overload = refused = moved = requests = 0.0
    shifted_at = -POPULAR_SHIFT_INTERVAL_S
    for step in range(round(DURATION_S / STEP_S)):
        now = step * STEP_S
        if now - shifted_at >= POPULAR_SHIFT_INTERVAL_S:
            shifted_at = now
            start = rng.randrange(KEY_COUNT - POPULAR_KEYS)
            popular = list(range(start, start + POPULAR_KEYS))
        keys = [
            rng.choice(popular)
            if rng.random() < POPULAR_SHARE
            else rng.randrange(KEY_COUNT)
            for _ in range(per_step)
        ]
        served: dict[Instance, int] = {}
        for key in keys:
            row = next(row for row in owners.rows if row.last >= key)
            if owners.is_held(row, now):
                served[row.owner] = served.get(row.owner, 0) + 1
            else:
                refused += 1
        room = CAPACITY * STEP_S
        overload += sum(max(0.0, one - room) for one in served.values())
        requests += per_step
        before = owners.rows
        owners.follow([KeyLoad(key, 1) for key in keys], now)
        moved += keys_changed(before, owners.rows)
    return Outcome(overload / requests, refused / requests, moved / KEY_COUNT)


def keys_changed(before: Sequence[KeyRow], after: Sequence[KeyRow]) -> int:
    """Return how many keys were given to another owner."""
    targets = {row.first: row.target for row in before if row.target != NO_INSTANCE}
    return sum(
        row.last - row.first + 1 for row in after if targets.get(row.first) == row.owner
    )
