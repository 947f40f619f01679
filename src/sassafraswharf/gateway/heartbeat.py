"""Heartbeats of an upstream, and the grants of keys in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.fleet.sync import ReleasedRow
    from sassafraswharf.fleet.values import Instance


class Heartbeat(NamedTuple):
    """A heartbeat of an upstream.

    ``sequence`` increases within an incarnation, so that a late heartbeat is detected.
    ``cold_s`` is the warm-up time of the upstream after its start. ``held`` has the
    rows that it holds or still runs requests for, ``released`` those that it has
    released since its last acknowledged heartbeat.
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
    """A range of keys that an upstream may hold.

    ``handover`` is the token with which it loads the state of the previous owner.
    """

    first: int
    last: int
    fence: int
    handover: str


class Grant(NamedTuple):
    """All rows that an upstream may hold, for ``hold_s`` after its heartbeat."""

    rows: tuple[GrantedRow, ...]
    hold_s: float
