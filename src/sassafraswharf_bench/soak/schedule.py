"""Generates a reproducible schedule of overlapping faults from a seed."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf_bench.soak.fault import Fault


if TYPE_CHECKING:
    from collections.abc import Sequence


ROUTER: Final = "router"
CONTROL: Final = "control"
UPSTREAM: Final = "upstream"
CONTROL_LINK: Final = "control link"
CONFIGURATION: Final = "configuration"
ANY_PROCESS: Final = "any"

START_PAUSE_S: Final = 1.0
MEAN_GAP_S: Final = 1.2
"""Most faults last longer than the gap to the next one, so they overlap."""
STOP_S: Final = 7.0
"""A planned stop may take the whole grace of 6 s and the end of the process."""
CONTROL_GAP_S: Final = 1.0
"""Minimum uptime between faults of control hosts, of which one at a time is down."""
SERIES_GAP_S: Final = (0.3, 1.5)


class FaultKind(NamedTuple):
    """The weight, target type and duration range of a kind of fault.

    ``extra_s`` is how long the target is occupied beyond the drawn length.
    """

    weight: int
    target_type: str
    shortest_s: float
    longest_s: float
    extra_s: float = 0.0


FAULT_KINDS: Final = {
    "stop": FaultKind(5, ROUTER, 0.1, 1.5, STOP_S),
    "stop_series": FaultKind(2, ROUTER, 0.1, 1.5, STOP_S),
    "kill": FaultKind(2, ROUTER, 0.1, 2.0),
    "pause": FaultKind(2, ROUTER, 0.3, 4.0),
    "hangup": FaultKind(2, ANY_PROCESS, 0.0, 0.0),
    "control_stop": FaultKind(1, CONTROL, 0.1, 1.0, STOP_S),
    "control_kill": FaultKind(2, CONTROL, 0.1, 2.0),
    "control_pause": FaultKind(1, CONTROL, 0.3, 4.0),
    "drain": FaultKind(3, UPSTREAM, 0.2, 2.0, 8.0),
    "deregister": FaultKind(1, UPSTREAM, 0.2, 2.0, 8.0),
    "crash": FaultKind(2, UPSTREAM, 0.2, 2.0),
    "lose": FaultKind(1, UPSTREAM, 0.5, 3.0),
    "cut": FaultKind(1, UPSTREAM, 0.5, 3.0),
    "repeat_answer": FaultKind(1, UPSTREAM, 0.5, 3.0),
    "silence": FaultKind(1, UPSTREAM, 0.5, 2.0),
    "link_delay": FaultKind(1, UPSTREAM, 0.5, 3.0),
    "link_reset": FaultKind(1, UPSTREAM, 0.0, 0.0),
    "link_silence_up": FaultKind(1, UPSTREAM, 0.3, 3.0),
    "link_silence_down": FaultKind(1, UPSTREAM, 0.3, 3.0),
    "control_link_delay": FaultKind(1, CONTROL_LINK, 0.5, 3.0),
    "control_link_reset": FaultKind(1, CONTROL_LINK, 0.0, 0.0),
    "control_link_silence_up": FaultKind(1, CONTROL_LINK, 0.3, 5.0),
    "control_link_silence_down": FaultKind(1, CONTROL_LINK, 0.3, 5.0),
    "change_timeout": FaultKind(2, CONFIGURATION, 0.0, 0.0),
    "change_idle": FaultKind(2, CONFIGURATION, 0.0, 0.0),
    "add_route": FaultKind(2, CONFIGURATION, 0.0, 0.0),
    "remove_route": FaultKind(1, CONFIGURATION, 0.0, 0.0),
    "race": FaultKind(1, CONFIGURATION, 0.0, 0.0),
}
"""All kinds of faults."""


class Schedule:
    """Draws the faults of one run; the same seed gives the same schedule."""

    def __init__(
        self, seed: int, routers: Sequence[str], controls: Sequence[str]
    ) -> None:
        """Know the machines by their names."""
        self.rng = random.Random(seed)
        self.targets = {
            ROUTER: list(routers),
            CONTROL: list(controls),
            CONTROL_LINK: list(controls),
            UPSTREAM: list(routers),
            ANY_PROCESS: [*routers, *controls],
        }
        self.free_at: dict[tuple[str, str], float] = {}

    def draw(self, seconds: float) -> list[Fault]:
        """Return the faults that begin within a time, in the order of time."""
        faults: list[Fault] = []
        names = list(FAULT_KINDS)
        weights = [kind.weight for kind in FAULT_KINDS.values()]
        at_s = START_PAUSE_S
        while at_s < seconds:
            name = self.rng.choices(names, weights)[0]
            faults += [
                one for one in self.create_faults(name, at_s) if one.at_s < seconds
            ]
            at_s += self.rng.expovariate(1 / MEAN_GAP_S)
        return sorted(faults)

    def create_faults(self, name: str, at_s: float) -> list[Fault]:
        """Return the faults for a drawn kind; none if its target is occupied."""
        if name == "stop_series":
            return self.stop_series(at_s)
        kind = FAULT_KINDS[name]
        if kind.target_type == CONFIGURATION:
            return [Fault(round(at_s, 3), name)]
        target = self.rng.choice(self.targets[kind.target_type])
        fault = self.reserve_target(name, target, at_s)
        return [fault] if fault is not None else []

    def stop_series(self, at_s: float) -> list[Fault]:
        """Return planned stops of all routers, one begun while the others end."""
        faults = []
        for target in self.rng.sample(self.targets[ROUTER], len(self.targets[ROUTER])):
            fault = self.reserve_target("stop", target, at_s)
            if fault is not None:
                faults.append(fault)
            at_s += self.rng.uniform(*SERIES_GAP_S)
        return faults

    def reserve_target(self, name: str, target: str, at_s: float) -> Fault | None:
        """Return a fault, ``None`` if an earlier one of its target still lasts."""
        kind = FAULT_KINDS[name]
        length_s = round(self.rng.uniform(kind.shortest_s, kind.longest_s), 3)
        if kind.target_type == ANY_PROCESS:
            return Fault(round(at_s, 3), name, target, length_s)
        is_control = kind.target_type == CONTROL
        occupied = (kind.target_type, "" if is_control else target)
        if self.free_at.get(occupied, 0.0) > at_s:
            return None
        rest_s = CONTROL_GAP_S if is_control else 0.0
        self.free_at[occupied] = at_s + length_s + kind.extra_s + rest_s
        return Fault(round(at_s, 3), name, target, length_s)
