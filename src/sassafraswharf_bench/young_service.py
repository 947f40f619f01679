"""Measure in virtual time how fast a new service is balanced over its upstreams.

The upstreams announce themselves one after the other within two seconds. A
handover takes 0.3 s. Each line of output is a JSON object; the seconds count
from the first announcement until the imbalance of slots (the most slots of one
upstream over the mean) is below 1.2 and all upstreams are known. Run it with
``python -m sassafraswharf_bench.young_service``.
"""

from __future__ import annotations

import json

from sassafraswharf.cell import commands
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.placement.load_view import UpstreamSample
from sassafraswharf.placement.load_view import encode_load
from sassafraswharf_bench.cell_scale import SERVICE
from sassafraswharf_bench.cell_scale import TICK_S
from sassafraswharf_bench.cell_scale import Cell


SLOT_COUNTS = (4_096, 65_536)
UPSTREAM_COUNTS = (3, 10, 100)
ANNOUNCEMENT_SPREAD_S = 2.0
HANDOVER_S = 0.3
REPORT_INTERVAL_S = 1.0
TARGET_IMBALANCE = 1.2
SIMULATION_TIMEOUT_S = 900.0
REPORTED_SPEED = 500.0


class NewServiceSimulation:
    """A new service without slot owners, its upstreams and their load."""

    def __init__(self, slot_count: int, upstreams: int, load: float) -> None:
        """Set up the cell; ``load`` is in requests per second per upstream."""
        self.cell = Cell(slot_count)
        self.load_per_slot = load * upstreams / slot_count
        self.slot_count = slot_count
        self.upstreams = upstreams
        self.sessions: list[SessionId] = []
        self.due: list[tuple[float, commands.SlotsReleased]] = []
        self.moved = 0

    def run(self) -> dict[str, object]:
        """Return when all slots were owned and when they were balanced."""
        served_at = balanced_at = None
        while balanced_at is None and self.cell.now < SIMULATION_TIMEOUT_S:
            self.cell.now += TICK_S
            self.step()
            owned = [count for count in self.owned().values() if count]
            if served_at is None and sum(owned) == self.slot_count:
                served_at = self.cell.now
            mean = self.slot_count / self.upstreams
            if sum(owned) == self.slot_count and max(owned) < TARGET_IMBALANCE * mean:
                balanced_at = self.cell.now
        return {
            "slots": self.slot_count,
            "upstreams": self.upstreams,
            "loaded": self.load_per_slot > 0,
            "served_s": served_at and round(served_at, 2),
            "balanced_s": balanced_at and round(balanced_at, 2),
            "moved": self.moved,
        }

    def owned(self) -> dict[UpstreamId, int]:
        """Return the slot count of each upstream."""
        found: dict[UpstreamId, int] = {}
        for holding, slots in self.cell.state.tables[SERVICE].holdings():
            if holding.upstream is not None:
                found[holding.upstream] = found.get(holding.upstream, 0) + slots
        return found

    def step(self) -> None:
        """Process announcements, load reports and releases that are due, then tick."""
        now = self.cell.now
        gap_s = ANNOUNCEMENT_SPREAD_S / max(self.upstreams - 1, 1)
        number = len(self.sessions)
        while number < self.upstreams and now >= TICK_S + number * gap_s - 1e-9:
            self.sessions.append(self.cell.add_host(number, f"zone-{number % 3}"))
            number += 1
        if round(now / TICK_S) % round(REPORT_INTERVAL_S / TICK_S) == 0:
            self.report(now)
        while self.due and self.due[0][0] <= now:
            self.cell.apply(self.due.pop(0)[1])
        for command in self.cell.controller.tick(
            self.cell.state, [], self.cell.loads, now
        ):
            self.cell.apply(command)
            if isinstance(command, commands.CloseSlots):
                self.close(command, now)

    def close(self, command: commands.CloseSlots, now: float) -> None:
        """Schedule the release of the slots by their owners after a handover."""
        table = self.cell.state.tables[ServiceName(SERVICE)]
        version = self.cell.state.version
        self.moved += sum(run.length for run in command.runs)
        for session in {run.session for run in table.runs_in(command.runs)}:
            released = commands.SlotsReleased(SERVICE, command.runs, version, session)
            self.due.append((now + HANDOVER_S, released))

    def report(self, now: float) -> None:
        """Report the load of each upstream."""
        owned = self.owned()
        for number, session in enumerate(self.sessions):
            name = UpstreamId(f"upstream-{number:04}")
            load = owned.get(name, 0) * self.load_per_slot
            sample = UpstreamSample(name, load, REPORTED_SPEED if load else 0.0, ())
            self.cell.loads.update(session, encode_load([sample]), now).unwrap()


def main() -> None:
    """Measure and print."""
    for slot_count in SLOT_COUNTS:
        for upstreams in UPSTREAM_COUNTS:
            for load in (0.0, 100.0):
                result = NewServiceSimulation(slot_count, upstreams, load).run()
                print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
