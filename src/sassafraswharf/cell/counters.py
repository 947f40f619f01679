"""Counters from which unavailable time and churn are computed."""

from __future__ import annotations

from typing import NamedTuple


class Counters(NamedTuple):
    """Totals since the cell was created, in slots and slot-seconds.

    Unavailable time runs from the command that leaves a slot without an owner
    to the one that assigns it; the lease term before that is not included.
    ``slots_moved`` counts assignments to another upstream than the previous
    one, ``slots_returned`` those to the same upstream.
    """

    unavailable_slot_s: float = 0.0
    closing_slot_s: float = 0.0
    slots_assigned: int = 0
    slots_moved: int = 0
    slots_returned: int = 0
