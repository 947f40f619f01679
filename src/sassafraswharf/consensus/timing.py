"""Periods of a group and the instant before all others."""

from __future__ import annotations

from typing import NamedTuple


NEVER = float("-inf")
"""Before every instant of a clock."""


class ReplicaTiming(NamedTuple):
    """Periods of a group in seconds."""

    heartbeat_s: float = 0.075
    election_min_s: float = 0.25
    election_max_s: float = 0.40
