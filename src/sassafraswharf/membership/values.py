"""Host sessions and upstreams in the replicated state of a cell."""

# msgspec resolves the annotations of decoded values when the program runs.
# ruff: noqa: TC001

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId


class SessionState(IntEnum):
    """State of a host session.

    A superseded session has been replaced by a newer one of its host, but its
    holder may still have a valid lease, so its slots can't be reassigned yet.
    """

    OPEN = 1
    SUPERSEDED = 2
    CLOSED = 3


class Session(NamedTuple):
    """A session of a host with its cell, from one start of its router.

    ``peers`` with ``generation`` is the current set of journal peers. The pending
    set replaces it when the host has copied its records to the pending peers.
    """

    session: SessionId
    host: HostId
    incarnation: int
    zone: str
    public_address: str
    internal_address: str
    lease_address: str
    control_address: str
    state: SessionState
    generation: int
    peers: tuple[SessionId, ...]
    pending_generation: int
    pending_peers: tuple[SessionId, ...]


class UpstreamState(IntEnum):
    """State of an upstream."""

    ANNOUNCED = 1
    ADMITTED = 2
    DRAINING = 3
    GONE = 4
    LOST = 5


class Upstream(NamedTuple):
    """An upstream, as its router announced it."""

    upstream: UpstreamId
    host: HostId
    session: SessionId
    service: ServiceName
    address: str
    slots: int
    connections: int
    checks_grants: bool
    incarnation: int
    speed: float
    state: UpstreamState
