"""A measured value, its bound and the verdict."""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import NamedTuple


class Verdict(Enum):
    """Result of comparing a value with its bound."""

    REACHED = "reached"
    NOT_REACHED = "NOT REACHED"
    REPORTED = "reported"


class Bound(NamedTuple):
    """A limit and where it comes from; ``at_least`` turns it into a minimum."""

    limit: float
    source: str
    at_least: bool = False

    def __str__(self) -> str:
        """Return the limit with its comparison operator."""
        return f"{'>=' if self.at_least else '<='} {self.limit:g}"


class Measurement(NamedTuple):
    """One row of the table; without a bound the value is only reported."""

    name: str
    value: float
    unit: str = ""
    bound: Bound | None = None
    note: str = ""

    @property
    def verdict(self) -> Verdict:
        """Return whether the value is within its bound."""
        if self.bound is None:
            return Verdict.REPORTED
        if self.bound.at_least:
            kept = self.value >= self.bound.limit
        else:
            kept = self.value <= self.bound.limit
        return Verdict.REACHED if kept else Verdict.NOT_REACHED

    def as_row(self) -> dict[str, Any]:
        """Return the row as stored in the JSON result."""
        return {
            "measure": self.name,
            "value": self.value,
            "unit": self.unit,
            "bound": "" if self.bound is None else str(self.bound),
            "source": "" if self.bound is None else self.bound.source,
            "verdict": self.verdict.value,
            "note": self.note,
        }


def round_to_three_digits(value: float) -> float:
    """Round a value to three significant digits."""
    return float(f"{value:.3g}")
