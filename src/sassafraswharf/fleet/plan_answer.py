"""The outcome of an operator's change of the configuration."""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import NamedTuple

from sassafraswharf.codes import ResultCode


class PlanOutcome(Enum):
    """The outcome of an operator's change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_LEADER = "not leader"
    UNKNOWN = "unknown"


class PlanAnswer(NamedTuple):
    """The outcome of a change; ``leader`` is the address to retry at."""

    outcome: PlanOutcome
    message: str
    leader: str = ""


OUTCOMES: Final = {
    ResultCode.OK: PlanOutcome.ACCEPTED,
    ResultCode.CONFIGURATION_CONFLICT: PlanOutcome.CONFLICT,
    ResultCode.CONFIGURATION_INVALID: PlanOutcome.INVALID,
}
