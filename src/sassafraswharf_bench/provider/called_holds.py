"""The keys of an endpoint that is granted them by calls."""

from __future__ import annotations

from typing import NamedTuple


class Hold(NamedTuple):
    """Keys that the endpoint holds until a time on its monotonic clock."""

    first: int
    last: int
    fence: int
    until: float


class CalledHolds:
    """Implements the provider's rules for grants and releases by call.

    A grant counts from its arrival, also when it is carried out later, and is
    refused if one of its keys was seen with a higher fence. A release is never
    refused.
    """

    def __init__(self) -> None:
        """Start as an endpoint does: it holds nothing and has seen no fence."""
        self.holds: list[Hold] = []
        self.seen: list[Hold] = []
        self.grants = 0
        self.releases = 0

    def grant(
        self, first: int, last: int, fence: int, arrived_at: float, hold_s: float
    ) -> bool:
        """Take a grant; return False if a higher fence was seen."""
        if any(one.fence > fence for one in self.seen if overlaps(one, first, last)):
            return False
        granted = Hold(first, last, fence, arrived_at + hold_s)
        self.holds = [*subtract_range(self.holds, first, last), granted]
        self.seen = [*subtract_range(self.seen, first, last), granted]
        self.grants += 1
        return True

    def release(self, first: int, last: int) -> None:
        """Give up keys at once, as far as they are held."""
        self.holds = subtract_range(self.holds, first, last)
        self.releases += 1

    def held(self, now: float) -> list[Hold]:
        """Return the holds that have not run out."""
        return [one for one in self.holds if one.until > now]

    def holds_key(self, key: int, now: float) -> bool:
        """Return whether requests for a key are run."""
        return any(one.first <= key <= one.last for one in self.held(now))


def overlaps(hold: Hold, first: int, last: int) -> bool:
    """Return whether a hold has keys from ``first`` to ``last``."""
    return hold.first <= last and hold.last >= first


def subtract_range(holds: list[Hold], first: int, last: int) -> list[Hold]:
    """Return the holds without the keys from ``first`` to ``last``."""
    rest = []
    for one in holds:
        if not overlaps(one, first, last):
            rest.append(one)
            continue
        if one.first < first:
            rest.append(one._replace(last=first - 1))
        if one.last > last:
            rest.append(one._replace(first=last + 1))
    return rest
