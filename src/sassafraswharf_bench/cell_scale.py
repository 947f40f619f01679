"""Measure a cell's state and controller at the target scale (section 1.5).

Each line of output is a JSON object. Run it with
``python -m sassafraswharf_bench.cell_scale``. A cell has 65,536 slots.
"""

from __future__ import annotations

import json
import time

from sassafraswharf.cell import commands
from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.controller import CellController
from sassafraswharf.cell.state import CellState
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.ownership.hashing import MAX_SLOT_COUNT
from sassafraswharf.ownership.values import SlotRange
from sassafraswharf.placement.load_view import LoadView
from sassafraswharf.transport import messages


SERVICE = ServiceName("diary")
CELL_HOSTS = 200
CELL_ZONE_HOSTS = 86
ZONE_HOSTS = 1_029
SURVIVING_HOSTS = 1_371
FIRST_PLACEMENT_AT_S = 10.0
TICK_S = 0.05
MAX_TICKS = 2_000


class Cell:
    """A cell's state and controller; every command is applied immediately."""

    def __init__(self, slot_count: int = MAX_SLOT_COUNT) -> None:
        """Start with one service and no upstream."""
        self.state = CellState()
        self.controller = CellController()
        self.loads = LoadView()
        self.index = 0
        self.now = 0.0
        self.plan_ms: list[float] = []
        self.apply_ms: list[float] = []
        self.largest_command_bytes = 0
        spec = commands.ServiceSpec(SERVICE, slot_count, admit_any=True)
        self.apply(commands.SetServices(1, (spec,)))

    def apply(self, command: commands.Command) -> int:
        """Apply a command and return its index."""
        self.index += 1
        # Each command gets a later time, so that slots are counted at every apply.
        data = encode_command(command._replace(at=float(self.index)))
        started = time.perf_counter()
        self.state.apply(self.index, data)
        self.apply_ms.append((time.perf_counter() - started) * 1_000)
        self.largest_command_bytes = max(self.largest_command_bytes, len(data))
        return self.index

    def add_host(self, number: int, zone: str) -> SessionId:
        """Open the session of a host and announce its upstream."""
        host = HostId(f"host-{number:04}")
        address = f"10.0.{number // 250}.{number % 250}"
        where = (f"{address}:7000", f"{address}:7001")
        control = (f"{address}:7002", f"{address}:7003")
        opening = commands.OpenSession(host, 1, zone, *where, *control)
        session = SessionId(self.apply(opening))
        self.apply(
            commands.AnnounceUpstream(
                UpstreamId(f"upstream-{number:04}"),
                host,
                session,
                SERVICE,
                f"{address}:8000",
                10,
                130,
                True,
                1,
                1.0,
            )
        )
        return session

    def place_until_owned(self, expired: list[SessionId]) -> dict[str, object]:
        """Tick until every slot is owned; return how long plan and apply blocked."""
        self.plan_ms.clear()
        self.apply_ms.clear()
        self.largest_command_bytes = ticks = 0
        done = False
        while not done and ticks < MAX_TICKS:
            self.now += TICK_S
            ticks += 1
            started = time.perf_counter()
            decided = self.controller.tick(self.state, expired, self.loads, self.now)
            self.plan_ms.append((time.perf_counter() - started) * 1_000)
            for command in decided:
                self.apply(command)
            done = not self.orphans() and ticks > 1
        return {
            "ticks": ticks,
            "left": self.orphans(),
            "plan_worst_ms": round(max(self.plan_ms), 1),
            "plan_total_ms": round(sum(self.plan_ms), 1),
            "apply_worst_ms": round(max(self.apply_ms, default=0.0), 1),
            "apply_total_ms": round(sum(self.apply_ms), 1),
            "largest_command_bytes": self.largest_command_bytes,
        }

    def orphans(self) -> int:
        """Return the number of slots without a live owner session."""
        return sum(
            slots
            for holding, slots in self.state.tables[SERVICE].holdings()
            if self.state.is_orphaned(holding)
        )


def delta_bytes() -> dict[str, object]:
    """Return the encoded size of a delta after one slot has changed."""
    cell = Cell()
    for number in range(CELL_HOSTS):
        cell.add_host(number, f"zone-{number % 3}")
    cell.place_until_owned([])
    version = cell.state.version
    cell.apply(commands.CloseSlots(SERVICE, (SlotRange(7, 1),)))
    delta = cell.state.delta_since(version)
    full = cell.state.delta_since(0)
    return {
        "measure": "delta",
        "hosts": CELL_HOSTS,
        "one_slot_bytes": len(messages.encode(delta)),
        "full_bytes": len(messages.encode(full)),
    }


def first_placement() -> dict[str, object]:
    """Return the cost of the first placement with all hosts of a cell present."""
    cell = Cell()
    for number in range(CELL_HOSTS):
        cell.add_host(number, f"zone-{number % 3}")
    cell.now = FIRST_PLACEMENT_AT_S
    return {"measure": "first placement", "hosts": CELL_HOSTS} | cell.place_until_owned(
        []
    )


def zone_loss(lost_hosts: int, survivors: int) -> dict[str, object]:
    """Return the cost of losing a zone whose hosts are all in one cell."""
    cell = Cell()
    lost = [cell.add_host(number, "zone-0") for number in range(lost_hosts)]
    for number in range(lost_hosts, lost_hosts + survivors):
        cell.add_host(number, f"zone-{1 + number % 2}")
    cell.place_until_owned([])
    return {"measure": "zone lost", "hosts": lost_hosts} | cell.place_until_owned(lost)


def main() -> None:
    """Measure and print."""
    print(json.dumps(delta_bytes()))
    print(json.dumps(first_placement()))
    print(json.dumps(zone_loss(CELL_ZONE_HOSTS, CELL_HOSTS - CELL_ZONE_HOSTS)))
    print(json.dumps(zone_loss(ZONE_HOSTS, SURVIVING_HOSTS)))


if __name__ == "__main__":
    main()
