"""Messages and timing of lease renewals."""

# msgspec resolves the annotations of decoded values when the program runs.
# ruff: noqa: TC001

from __future__ import annotations

from typing import NamedTuple

from sassafraswharf.identifiers import CellId
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ReplicaId
from sassafraswharf.identifiers import SessionId


class LeaseTiming(NamedTuple):
    """Durations in seconds, the same on holders and grantors.

    The drift margin covers clocks whose rates differ by 5%: 0.9 s on the
    slower clock are at most 0.945 s on the faster one.
    """

    term_s: float = 0.9
    renew_every_s: float = 0.25
    drift_margin_s: float = 0.05


class LeaseRenewal(NamedTuple):
    """A host asks the leader of its cell to extend the lease of its session.

    Sessions of different cells may have the same number.
    """

    host: HostId
    cell: CellId
    session: SessionId
    sequence: int
    configuration_revision: int
    table_version: int
    load: bytes


class LeaseAck(NamedTuple):
    """The lease is valid for ``term_s`` from when the renewal was sent."""

    session: SessionId
    sequence: int
    term_s: float
    leader_term: int
    configuration_revision: int
    table_version: int


class LeaseRefusal(NamedTuple):
    """The lease was not extended; code 4004 ends the session."""

    session: SessionId
    sequence: int
    code: int
    leader_hint: ReplicaId | None
