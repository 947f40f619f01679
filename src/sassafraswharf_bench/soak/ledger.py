"""Records of callers, upstreams and the operator in one run, on a monotonic clock."""

from __future__ import annotations

from collections import defaultdict
from typing import Any
from typing import NamedTuple


def booking_body(request_id: str) -> bytes:
    """Return the body of a booking."""
    return f"for {request_id}".encode()


class Exchange(NamedTuple):
    """A request and how it ended for its caller.

    ``outcome`` is ``answered``, ``cut`` (the connection ended without a complete
    answer), ``garbled`` (bytes that are no answer), ``stray`` (bytes that nobody
    asked for), ``left``, ``late`` (no answer until the deadline) or ``unanswered``.
    """

    request_id: str
    kind: str
    host: str
    target: str
    kept: bool
    sent_at: float
    ended_at: float
    deadline_s: float
    outcome: str
    status: int = 0
    signature: str = ""
    answer_id: str = ""
    body: bytes = b""

    def request_body(self) -> bytes:
        """Return the body that was sent."""
        return booking_body(self.request_id) if self.kind == "booking" else b""


class RunRecord(NamedTuple):
    """Work of an upstream on a request.

    ``result`` is ``whole`` or ``broken`` (by the upstream), ``given_up`` (its
    connection was closed) or ``ended`` (the upstream ended).
    """

    request_id: str
    instance: str
    host: str
    service: str
    key: int
    target: str
    begun_at: float
    ended_at: float
    result: str
    body: bytes = b""


class HoldPeriod(NamedTuple):
    """Keys that an upstream held for a time."""

    instance: str
    host: str
    first: int
    last: int
    fence: int
    since: float
    until: float


class Leave(NamedTuple):
    """An acknowledgement that an upstream leaves."""

    instance: str
    acknowledged_at: float


class Signal(NamedTuple):
    """Something that was done to a process, or that it did by itself.

    ``kind`` is ``term``, ``kill``, ``overrun`` (killed at the end of the grace),
    ``ended`` (by itself), ``start``, ``freeze``, ``thaw``, ``hangup``, or ``harm`` and
    ``heal`` for the link to its upstream, or from the routers to a control host.
    """

    host: str
    kind: str
    at: float


class Change(NamedTuple):
    """A configuration that was sent; ``status`` 0 is no clear answer."""

    version: int
    base: int
    status: int
    sent_at: float
    answered_at: float
    document: dict[str, Any]


class ConfigurationRead(NamedTuple):
    """A configuration that a control host returned."""

    host: str
    sent_at: float
    version: int
    document: dict[str, Any]


class RouteProbe(NamedTuple):
    """What a router said at the end of a run to a request for an added route."""

    host: str
    name: str
    status: int


class RolloutProbe(NamedTuple):
    """What a router said, a while after a change, to a request for an added route."""

    version: int
    host: str
    name: str
    sent_at: float
    status: int


class Ledger:
    """Collects the records of one run."""

    def __init__(self) -> None:
        """Start without records."""
        self.exchanges: list[Exchange] = []
        self.runs: list[RunRecord] = []
        self.holds: list[HoldPeriod] = []
        self.leaves: list[Leave] = []
        self.signals: list[Signal] = []
        self.changes: list[Change] = []
        self.reads: list[ConfigurationRead] = []
        self.probes: list[RouteProbe] = []
        self.rollouts: list[RolloutProbe] = []
        self.probe_ids: set[str] = set()
        self.is_recovered = True
        self.loop_lag_s = 0.0
        self.final: ConfigurationRead | None = None

    def runs_by_id(self) -> dict[str, list[RunRecord]]:
        """Return the runs of each request."""
        runs: dict[str, list[RunRecord]] = defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs
