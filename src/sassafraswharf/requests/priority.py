"""Admission priority of requests, never set by callers."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from sassafraswharf.identifiers import ServiceName


class Priority(IntEnum):
    """The classes of the admission queue, highest priority first."""

    NESTED = 0
    AT_MOST_ONCE = 1
    LOOKUP = 2


class RequestFacts(NamedTuple):
    """The attributes of a request that admission control uses.

    ``nested_depth`` is 0 for a request of a caller and one more than the depth
    of the request during whose service an upstream sent this one. It must come
    from the routers and never from a header of an outside caller.
    """

    service: ServiceName
    operation: str
    repeatable: bool
    nested_depth: int
    deadline_at: float
    key: str | None
    arrived_at: float

    @property
    def nested(self) -> bool:
        """Whether an upstream sent the request while it served another one."""
        return self.nested_depth > 0

    @property
    def priority(self) -> Priority:
        """The priority class, derived from the operation and the origin."""
        if self.nested:
            return Priority.NESTED
        return Priority.LOOKUP if self.repeatable else Priority.AT_MOST_ONCE
