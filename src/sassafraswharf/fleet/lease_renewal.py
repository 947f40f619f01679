"""Decides which routers may get a lease with the fleet table that they have."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.fleet.fleet_table import FleetTable
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import Upstream


class LeaseRenewal:
    """Remembers the routers whose leases have ended and which table they need.

    ``lost_upstreams`` are the upstreams beside them, with the time of the loss.

    The keys of a router without a lease are assigned to others without its consent.
    With a lease and a table from before that, it would grant them once more.
    """

    def __init__(self, revocation_version: int = 0) -> None:
        """Start a term; earlier leaders took keys up to a table version."""
        self.revocation_version = revocation_version
        self.lost_upstreams: dict[Instance, float] = {}
        self.needed_versions: dict[str, int] = {}

    def may_renew(self, request: SyncRequest) -> bool:
        """Return whether a router may get a lease with the table that it reports."""
        needed = self.needed_versions.get(request.host, self.revocation_version)
        return request.fleet_version >= needed

    def on_lost(self, upstream: Upstream, table: FleetTable, now: float) -> None:
        """Record that the router of an upstream has no lease any more.

        This is final, since the change that takes its keys may be committed at any
        later time. It will have a version above that of the table. An upstream that
        leaves stays in the table, without keys.
        """
        if upstream.instance in self.lost_upstreams:
            return
        self.lost_upstreams[upstream.instance] = now
        if table.rows_of(upstream.instance):
            self.needed_versions[upstream.host] = table.version + 1

    def on_returned(self, instance: Instance) -> None:
        """Record that the router of an upstream without keys reports again."""
        self.lost_upstreams.pop(instance, None)

    def keep_only(self, upstreams: dict[Instance, Upstream]) -> None:
        """Forget the lost upstreams that the table has no more."""
        self.lost_upstreams = {
            instance: at
            for instance, at in self.lost_upstreams.items()
            if instance in upstreams
        }
