"""The interface of an upstream runner that permits and crash detection use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    import asyncio

    from sassafraswharf.membership.values import Upstream


class ServedUpstream(Protocol):
    """A local upstream and whether requests may still be sent to it.

    ``lost`` is set once its process has exited, ``liveness_unknown`` while this is
    being probed, and ``leaving`` if it gets no new work. ``idle`` is set while no
    request is in flight.
    """

    upstream: Upstream
    lost: bool
    liveness_unknown: bool
    leaving: bool
    idle: asyncio.Event

    def reject_waiting(self) -> None:
        """Refuse all waiting requests as not run."""
