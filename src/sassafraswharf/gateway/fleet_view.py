"""A router's local copy of the configuration and of the fleet table."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Final

from result import Ok

from sassafraswharf.fleet.fleet_table import FleetTable
from sassafraswharf.router.change_signal import ChangeSignal
from sassafraswharf.routing.plan_document import PlanDocument
from sassafraswharf.routing.route_table import RouteTable


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.fleet.fleet_state import VersionedFleet
    from sassafraswharf.observability.decision_log import DecisionLog
    from sassafraswharf.routing.plan_document import PlanChange
    from sassafraswharf.routing.plan_document import PlanReader


PLAN_FRESHNESS_S: Final = 1.5
"""A configuration takes effect everywhere within 2 s of its acceptance. A router that
confirmed its version less than that ago still has the one in effect."""


class FleetView:
    """Applies changes from the control group in order of version."""

    def __init__(self, reader: PlanReader, log: DecisionLog) -> None:
        """Start without a configuration."""
        self.reader = reader
        self.log = log
        self.plan = PlanDocument(reader)
        self.routes: RouteTable | None = None
        self.fleet = FleetTable()
        self.changed = ChangeSignal()
        self.plan_confirmed_at = float("-inf")

    def confirm_plan(self, newest: int, asked_at: float) -> None:
        """Record the leader's newest version, valid at ``asked_at`` or later."""
        if self.plan.version >= newest:
            self.plan_confirmed_at = max(self.plan_confirmed_at, asked_at)

    def is_plan_confirmed(self, now: float) -> bool:
        """Return whether the configuration was recently confirmed as the newest."""
        return now - self.plan_confirmed_at <= PLAN_FRESHNESS_S

    def apply_plan_changes(self, changes: Iterable[PlanChange]) -> None:
        """Apply configuration changes in order."""
        plan = self.plan
        began = time.monotonic()
        applied_changes = 0
        for change in changes:
            if change.version <= plan.version:
                continue
            if not change.is_whole and change.base_version != plan.version:
                self.log.record(
                    "configuration_gap",
                    version=plan.version,
                    base=change.base_version,
                    next=change.version,
                )
                return
            applied = plan.apply(change)
            if not isinstance(applied, Ok):
                self.log.record(
                    "configuration_unreadable",
                    version=change.version,
                    why=applied.err_value,
                )
                return
            plan = applied.ok_value
            applied_changes += 1
        if plan is self.plan:
            return
        before = self.plan.version
        self.plan = plan
        self.routes = RouteTable(plan.plan)
        self.log.record(
            "configuration_in_force",
            version=plan.version,
            before=before,
            changes=applied_changes,
            routes=len(plan.plan.routes),
            took_ms=round((time.monotonic() - began) * 1000),
        )
        self.changed.notify()

    def apply_fleet_changes(self, changes: Iterable[VersionedFleet]) -> None:
        """Apply fleet table changes in order."""
        before = self.fleet.version
        for version, change in changes:
            self.fleet.apply(version, change)
        if self.fleet.version != before:
            self.log.record(
                "fleet_in_force",
                version=self.fleet.version,
                before=before,
                upstreams=len(self.fleet.upstreams),
            )
            self.changed.notify()
