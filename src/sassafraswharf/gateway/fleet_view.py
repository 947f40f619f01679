"""The configuration and the fleet as one router knows them."""

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
"""A configuration is in force everywhere 2 s after its acceptance. A router that has
heard of none for less than that has the one in force."""


class FleetView:
    """Follows the versions of the control group and never goes back."""

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
        """Take the leader's word on the newest version, as of ``asked_at`` or later."""
        if self.plan.version >= newest:
            self.plan_confirmed_at = max(self.plan_confirmed_at, asked_at)

    def is_plan_confirmed(self, now: float) -> bool:
        """Return whether the configuration was the newest a moment ago."""
        return now - self.plan_confirmed_at <= PLAN_FRESHNESS_S

    def apply_plan_changes(self, changes: Iterable[PlanChange]) -> None:
        """Apply changes of the configuration in order."""
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
        """Apply changes of the fleet in order."""
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
