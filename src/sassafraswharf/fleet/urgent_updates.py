"""Which routers must hear of a change of the fleet at once."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.fleet.sync import SyncRequest
    from sassafraswharf.fleet.values import FleetChange
    from sassafraswharf.fleet.values import Instance


class UrgentUpdates:
    """Remembers the newest version that concerns each upstream.

    The router beside an upstream that gives or takes keys, joins or leaves hears of
    it at once. All others hear of it with the next answer to their report: a request
    that they send to an earlier owner is refused there, not run, and makes them ask.
    So a move costs two messages, however many routers there are.
    """

    def __init__(self) -> None:
        """Start without knowledge of a change."""
        self.versions: dict[Instance, int] = {}

    def clear(self) -> None:
        """Forget all changes: another leader committed those that follow."""
        self.versions.clear()

    def on_change(self, change: FleetChange, version: int) -> None:
        """Take a change that was committed as ``version``."""
        for upstream in change.upstreams:
            self.versions[upstream.instance] = version
        for _, rows in change.rows:
            for row in rows:
                self.versions[row.owner] = version
                self.versions[row.target] = version
        for instance in change.removed:
            self.versions.pop(instance, None)

    def is_urgent_for(self, report: SyncRequest, version: int) -> bool:
        """Return whether a router must hear at once of what it lacks.

        One that follows no table yet, or is in the middle of a transfer, goes on
        without a pause.
        """
        if report.fleet_version >= version:
            return False
        if report.upstream is None or report.fleet_cursor is not None:
            return True
        if not report.fleet_version:
            return True
        concerned = self.versions.get(report.upstream.instance, 0)
        return concerned > report.fleet_version
