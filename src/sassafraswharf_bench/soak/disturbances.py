"""When each machine was disturbed; checks exempt requests in these times."""

from __future__ import annotations

import math

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf_bench.soak.ledger import Ledger
    from sassafraswharf_bench.soak.ledger import Signal


RECONNECT_S: Final = 3.0
"""A machine counts as connected once it was undisturbed for this long."""
CONTROL_PREFIX: Final = "core-"
ENDED_BY: Final = {
    "term": "start",
    "kill": "start",
    "ended": "start",
    "freeze": "thaw",
    "harm": "heal",
    "start": "start",
}
UNPLANNED: Final = frozenset({"kill", "ended", "freeze", "harm"})


class Span(NamedTuple):
    """The start and end of one disturbance of a machine."""

    kind: str
    first: float
    last: float


class Disturbances:
    """The disturbances of all machines of a run."""

    def __init__(self, ledger: Ledger) -> None:
        """Pair the signals that start and end each disturbance."""
        signals: dict[str, list[Signal]] = defaultdict(list)
        for signal in sorted(ledger.signals, key=lambda one: one.at):
            signals[signal.host].append(signal)
        self.spans = {
            host: list(disturbance_spans(found)) for host, found in signals.items()
        }
        self.controls = [one for one in self.spans if one.startswith(CONTROL_PREFIX)]

    def is_disturbed(
        self, host: str, first: float, last: float, kinds: Iterable[str] = ENDED_BY
    ) -> bool:
        """Return whether a machine was disturbed in an interval or shortly before."""
        wanted = frozenset(kinds)
        return any(
            span.kind in wanted
            and span.first <= last
            and span.last >= first - RECONNECT_S
            for span in self.spans.get(host, ())
        )

    def is_connected(self, host: str, first: float, last: float) -> bool:
        """Return whether a machine and all control hosts are undisturbed."""
        return not any(
            self.is_disturbed(one, first, last) for one in (host, *self.controls)
        )

    def start_times(self, host: str, kind: str) -> list[float]:
        """Return the start times of a machine's disturbances of one kind."""
        return [one.first for one in self.spans.get(host, ()) if one.kind == kind]


def disturbance_spans(signals: list[Signal]) -> Iterable[Span]:
    """Yield a span for each signal of one machine, up to the signal that ends it."""
    for position, signal in enumerate(signals):
        closed_by = ENDED_BY.get(signal.kind, signal.kind)
        if closed_by == signal.kind:
            yield Span(signal.kind, signal.at, signal.at)
            continue
        later = (one.at for one in signals[position:] if one.kind == closed_by)
        yield Span(signal.kind, signal.at, next(later, math.inf))
