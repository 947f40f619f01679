"""Linear least-squares fit of measured points."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Sequence


class Point(NamedTuple):
    """A measured cost ``y`` at a size ``x``."""

    x: float
    y: float


class Line(NamedTuple):
    """The least-squares line ``y = intercept + slope * x``."""

    intercept: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit(points: Sequence[Point]) -> Line:
    """Return the least-squares line; raise ValueError for fewer than two sizes."""
    mean_x = sum(point.x for point in points) / max(1, len(points))
    mean_y = sum(point.y for point in points) / max(1, len(points))
    spread = sum((point.x - mean_x) ** 2 for point in points)
    if spread == 0:
        raise ValueError("a line needs points at two or more sizes")
    slope = sum((p.x - mean_x) * (p.y - mean_y) for p in points) / spread
    return Line(mean_y - slope * mean_x, slope)
