"""Heartbeat and election timing of a group."""

from __future__ import annotations

from typing import NamedTuple


NEVER = float("-inf")
"""Earlier than every time of a clock."""


class ReplicaTiming(NamedTuple):
    """Heartbeat interval and range of the election timeout, in seconds."""

    heartbeat_s: float = 0.075
    election_min_s: float = 0.25
    election_max_s: float = 0.40
