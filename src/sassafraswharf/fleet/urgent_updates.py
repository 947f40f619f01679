"""Decides which routers get a change of the fleet without delay."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.values import FleetChange
    from sassafraswharf.fleet.values import Instance


class UrgentUpdates:
    """Stores the newest version that affects each upstream.

    The router beside an upstream that gains or loses keys, joins or leaves is sent
    the change at once. All others get it with the next reply to their report: a
    request that they send to the previous owner is refused there, not run, and makes
    them poll. So a move costs two messages, however many routers there are.
    """

    def __init__(self) -> None:
        """Start without changes."""
        self.versions: dict[Instance, int] = {}

    def clear(self) -> None:
        """Discard all changes when the leader changes."""
        self.versions.clear()

    def on_change(self, change: FleetChange, version: int) -> None:
        """Record a change that was committed as ``version``."""
        for upstream in change.upstreams:
            self.versions[upstream.instance] = version
        for _, rows in change.rows:
            for row in rows:
                self.versions[row.owner] = version
                self.versions[row.target] = version
        for instance in change.removed:
            self.versions.pop(instance, None)

    def is_urgent_for(self, report: SyncRequest, version: int) -> bool:
        """Return whether a router must be sent the changes that it lacks at once.

        A router without a table, or in the middle of a transfer, is always served
        without delay.
        """
        if report.fleet_version >= version:
            return False
        if report.upstream is None or report.fleet_cursor is not None:
            return True
        if not report.fleet_version:
            return True
        concerned = self.versions.get(report.upstream.instance, 0)
        return concerned > report.fleet_version
