"""Slot ranges, ownership records and deltas of slot tables."""

# msgspec resolves the annotations of decoded values when the program runs.
# ruff: noqa: TC001

from __future__ import annotations

from typing import NamedTuple

from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId


class SlotRange(NamedTuple):
    """Consecutive slots of a service."""

    start: int
    length: int


class SlotRun(NamedTuple):
    """Consecutive slots with the same owner, epoch and state.

    ``sources`` are the sessions whose journal sets the owner must seal before
    it serves at-most-once requests.
    """

    start: int
    length: int
    upstream: UpstreamId | None
    session: SessionId
    epoch: int
    closing: bool
    sources: tuple[SessionId, ...]


class Holding(NamedTuple):
    """Owner and state of a slot; equal values are stored once per table."""

    upstream: UpstreamId | None
    session: SessionId
    closing: bool
    sources: tuple[SessionId, ...]


class Ownership(NamedTuple):
    """Owner and state of one slot."""

    slot: int
    upstream: UpstreamId | None
    session: SessionId
    epoch: int
    closing: bool
    sources: tuple[SessionId, ...]


class TableDelta(NamedTuple):
    """The slots that changed after ``from_version``, as of ``to_version``."""

    service: ServiceName
    from_version: int
    to_version: int
    slot_count: int
    runs: tuple[SlotRun, ...]


class PackedRun(NamedTuple):
    """Consecutive slots of a packed table; ``holding`` indexes ``holdings``."""

    length: int
    holding: int
    epoch: int
    changed: int


class PackedTable(NamedTuple):
    """A slot table as part of a snapshot."""

    service: ServiceName
    slot_count: int
    version: int
    holdings: tuple[Holding, ...]
    runs: tuple[PackedRun, ...]


class Grant(NamedTuple):
    """The slots that an upstream may serve, sent to it by its router."""

    service: ServiceName
    upstream: UpstreamId
    session: SessionId
    table_version: int
    runs: tuple[SlotRun, ...]
    valid_for_s: float
