"""A permit to send one request to an upstream, revalidated before dispatch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.membership.values import UpstreamState


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.leases.holder import LeaseHolder
    from sassafraswharf.ownership.values import Ownership
    from sassafraswharf.router.served_upstream import ServedUpstream
    from sassafraswharf.router.view import RouterView


NO_SLOT: Final = -1
"""The slot of a request that any upstream of its service may run."""


class Permit:
    """The conditions for sending a request, checked on arrival and before dispatch.

    ``ownership`` is ``None`` for a request that any upstream of its service may
    run; then only the lease and the upstream are checked.
    """

    __slots__ = ("clock", "holder", "ownership", "runner", "session", "view")

    def __init__(
        self,
        runner: ServedUpstream,
        ownership: Ownership | None,
        holder: LeaseHolder,
        view: RouterView,
        clock: Clock,
    ) -> None:
        self.runner = runner
        self.ownership = ownership
        self.holder = holder
        self.session = holder.session
        self.view = view
        self.clock = clock

    @property
    def slot(self) -> int:
        """The slot of the request, or ``NO_SLOT``."""
        return NO_SLOT if self.ownership is None else self.ownership.slot

    @property
    def epoch(self) -> int:
        """The epoch under which the request runs, 0 without a slot."""
        return 0 if self.ownership is None else self.ownership.epoch

    @property
    def lease_expires_at(self) -> float:
        """When the permit expires unless the lease is renewed."""
        return self.holder.expires_at

    def is_valid(self) -> bool:
        """Return whether the request may be sent now."""
        if self.runner.lost or self.runner.leaving or not self.has_lease():
            return False
        upstream = self.runner.upstream
        if self.ownership is None:
            known = self.view.upstreams.get(upstream.upstream)
            return known is not None and known.state == UpstreamState.ADMITTED
        running = {upstream.upstream: upstream.incarnation}
        slot = self.ownership.slot
        return self.has_epoch() and self.view.may_serve(
            upstream.service, slot, self.session, running
        )

    def is_current(self) -> bool:
        """Return whether this host has owned the slot continuously until now."""
        if self.ownership is None:
            return True
        return self.has_lease() and self.has_epoch()

    def has_lease(self) -> bool:
        """Return whether the session of the permit has a valid lease."""
        if self.holder.session != self.session:
            return False
        return self.holder.is_valid(self.clock.now())

    def has_epoch(self) -> bool:
        """Return whether the slot has not been reassigned since the permit was made."""
        if self.ownership is None:
            return True
        table = self.view.tables[self.runner.upstream.service]
        return table.epoch(self.ownership.slot) == self.ownership.epoch
