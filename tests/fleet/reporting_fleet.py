"""Routers that report to a coordinator in virtual time."""

from __future__ import annotations

from sassafraswharf.fleet.coordinator import FIRST_PLACEMENT_DELAY_S
from sassafraswharf.fleet.coordinator import Coordinator
from sassafraswharf.fleet.fleet_table import FleetTable
from sassafraswharf.fleet.lease_timing import LeaseTiming
from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import KeyLoad
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.fleet.sync import UpstreamReport
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow


TIMING = LeaseTiming()
SERVICE = "catalogue"


class ReportingFleet:
    """A coordinator, its table and routers that report to it."""

    def __init__(self, names: str) -> None:
        """Start with an upstream for each letter of ``names`` and without keys."""
        self.coordinator = Coordinator(TIMING)
        self.table = FleetTable()
        self.now = 100.0
        self.index = 0
        self.sequence = 0
        self.instances = {name: Instance(f"i-{name}", 1) for name in names}
        self.held: dict[str, tuple[HeldRow, ...]] = {}
        self.released: dict[str, tuple[ReleasedRow, ...]] = {}
        self.draining: set[str] = set()
        self.restarting: set[str] = set()
        self.ended: dict[str, tuple[Instance, ...]] = {}
        self.silent: set[str] = set()
        self.silent_s = dict.fromkeys(names, 0.1)
        self.loads: tuple[KeyLoad, ...] = ()
        self.coordinator.start_term(self.now)

    def report(self, name: str, *, boot: int = 1, version: int | None = None) -> None:
        """Send the report of a router that has the table of ``version``."""
        self.sequence += 1
        upstream = UpstreamReport(
            self.instances[name],
            SERVICE,
            10,
            name in self.draining,
            self.silent_s.get(name, 0.1),
            self.held.get(name, ()),
            self.released.get(name, ()),
            True,
            service_s=0.06,
            key_loads=self.loads,
            restarting=name in self.restarting,
        )
        request = SyncRequest(
            name,
            f"10.0.0.{ord(name)}",
            "dub-a",
            boot,
            self.sequence,
            0,
            self.table.version if version is None else version,
            0.0,
            upstream,
            self.ended.get(name, ()),
        )
        self.coordinator.on_sync(request, self.now)

    def request_of(self, name: str) -> SyncRequest:
        """Return the latest report of a router."""
        return self.coordinator.sessions[name].request

    def step(self, seconds: float = 0.1) -> None:
        """Advance the time, send reports, and commit changes until there are none."""
        self.now += seconds
        for name in self.instances:
            if name not in self.silent:
                self.report(name)
        for _ in range(20):
            change = self.coordinator.next_change(self.table, [SERVICE], self.now)
            if change is None:
                return
            self.index += 1
            self.table.apply(self.index, change)
            for name in self.instances:
                if name not in self.silent:
                    self.report(name)
        raise AssertionError("the coordinator never comes to rest")

    def hold_all(self) -> None:
        """Make every upstream hold its assigned keys."""
        for name, instance in self.instances.items():
            rows = self.table.rows_of(instance)
            self.held[name] = tuple(
                HeldRow(row.first, row.last, row.fence) for row in rows
            )

    def rows(self) -> tuple[KeyRow, ...]:
        """Return the rows of the service."""
        return self.table.rows.get(SERVICE, ())

    def owners(self) -> set[str]:
        """Return the names of the upstreams that own keys."""
        return {row.owner.name for row in self.rows()}


def started(names: str = "abc") -> ReportingFleet:
    """Return a fleet whose upstreams hold the keys that they were assigned."""
    fleet = ReportingFleet(names)
    fleet.step()
    fleet.step(FIRST_PLACEMENT_DELAY_S + 0.1)
    fleet.hold_all()
    return fleet
