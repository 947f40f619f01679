"""What the parts beside a runner know of it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    import asyncio

    from sassafraswharf.membership.values import Upstream


class ServedUpstream(Protocol):
    """An upstream that this router serves, and whether it still may.

    ``lost`` says that its process has ended, ``doubtful`` that this is not known,
    ``leaving`` that it gets no new work. ``idle`` is set while nothing is in
    flight.
    """

    upstream: Upstream
    lost: bool
    liveness_unknown: bool
    leaving: bool
    idle: asyncio.Event

    def reject_waiting(self) -> None:
        """Hand back all waiting requests as not run."""
