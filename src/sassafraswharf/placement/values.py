"""Inputs and results of the planner."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from sassafraswharf.identifiers import UpstreamId


class Weights(NamedTuple):
    """Cost weights set by the operator; only their ratios matter."""

    unavailable: float = 1.0
    imbalance: float = 1.0
    churn: float = 1.0


class PlannerLimits(NamedTuple):
    """Limits of planned moves; orphaned slots are not limited.

    ``moves_per_minute`` 0 means a quarter of the slots of the service.
    ``min_benefit`` is in units of the imbalance that one average slot causes.
    ``handover_s`` is the expected time for which a moved slot is not served.
    """

    moves_per_minute: int = 0
    min_benefit: float = 0.02
    handover_s: float = 0.1
    cooldown_s: float = 30.0


class UpstreamLoad(NamedTuple):
    """Speed and load of an upstream in requests per second.

    Only an upstream that is ``available`` receives slots. ``reported`` says
    that its router has sent a recent report, so a load of 0 is measured.
    Without one it is unknown, as for a new leader.
    """

    upstream: UpstreamId
    speed: float
    load: float
    available: bool
    reported: bool = False


class Move(NamedTuple):
    """A slot that gets a new owner; ``source`` is None for orphaned slots."""

    slot: int
    source: UpstreamId | None
    target: UpstreamId
