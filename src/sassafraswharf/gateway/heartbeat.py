"""What an upstream says of itself, and what it is given."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.fleet.sync import ReleasedRow
    from sassafraswharf.fleet.values import Instance


class Heartbeat(NamedTuple):
    """One announcement of an upstream.

    ``sequence`` grows with each one of a life, so that a late one is recognised.
    ``cold_s`` is how long the upstream remains slow after its start. ``held`` is
    what it holds or still works on, ``released`` what it has given up since its
    last acknowledged heartbeat.
    """

    instance: Instance
    service: str
    address: tuple[str, int]
    slots: int
    draining: bool
    cold_s: float
    sequence: int
    held: tuple[HeldRow, ...] = ()
    released: tuple[ReleasedRow, ...] = ()


class GrantedRow(NamedTuple):
    """Keys that an upstream may hold; ``handover`` makes them warm."""

    first: int
    last: int
    fence: int
    handover: str


class Grant(NamedTuple):
    """Everything that an upstream is to hold, for ``hold_s`` after its heartbeat."""

    rows: tuple[GrantedRow, ...]
    hold_s: float
