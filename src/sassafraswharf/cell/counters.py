"""Counters from which unavailable time and churn are computed."""

from __future__ import annotations

from typing import NamedTuple


class Counters(NamedTuple):
    """Totals since the cell was created, in slots and slot-seconds.

    Unavailable time runs until the command that assigns the slot. It starts
    with the command that leaves the slot without an owner or, if a lease has
    ended, with the last renewal that the leader has acknowledged, so that the
    lease term is included. A new leader knows no earlier renewals and counts
    from the start of its term. Slots that never had an owner don't count.
    ``slots_moved`` counts assignments to another upstream than the previous
    one, ``slots_returned`` those to the same upstream.
    """

    unavailable_slot_s: float = 0.0
    closing_slot_s: float = 0.0
    slots_assigned: int = 0
    slots_moved: int = 0
    slots_returned: int = 0
