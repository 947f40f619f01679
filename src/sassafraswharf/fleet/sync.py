"""Messages between routers and the leader of the control group."""

# msgspec resolves the annotations of decoded values when the program runs.
# ruff: noqa: TC001

from __future__ import annotations

from typing import NamedTuple

import msgspec

from sassafraswharf.fleet.fleet_state import VersionedFleet
from sassafraswharf.fleet.transfer import PART_BYTES
from sassafraswharf.fleet.transfer import Cursor
from sassafraswharf.fleet.transfer import TransferPart
from sassafraswharf.fleet.values import Instance
from sassafraswharf.routing.plan_document import PlanChange


class HeldRow(NamedTuple):
    """Keys that an upstream holds, or that it may still hold."""

    first: int
    last: int
    fence: int


class ReleasedRow(NamedTuple):
    """Keys that an upstream has given up, with the token for the next owner."""

    first: int
    last: int
    handover_token: str


class KeyLoad(NamedTuple):
    """How many requests a key got since the last report."""

    key: int
    requests: int


class UpstreamReport(NamedTuple):
    """What a router knows of the upstream beside it.

    ``is_complete`` says that ``held`` names everything that the upstream can
    still hold; a router that has just started can't know it. ``silent_s`` is the
    time since its last heartbeat. ``busy_slots`` is the mean number of requests
    at work, ``service_s`` the mean time that one takes. ``restarting`` says that
    the router is being stopped, while the upstream goes on. ``refused`` are keys that
    the upstream can't be granted, since it has seen a newer fence for some of them.
    """

    instance: Instance
    service: str
    slots: int
    draining: bool
    silent_s: float
    held: tuple[HeldRow, ...]
    released: tuple[ReleasedRow, ...]
    is_complete: bool
    busy_slots: float = 0.0
    service_s: float = 0.0
    requests: float = 0.0
    key_loads: tuple[KeyLoad, ...] = ()
    restarting: bool = False
    refused: tuple[HeldRow, ...] = ()


class CrashReport(NamedTuple):
    """A life of an upstream that crashed, and the requests that it ran then."""

    instance: Instance
    digests: tuple[bytes, ...]


class Suspect(NamedTuple):
    """A request, by its digest, and how many lives of upstreams ended with it."""

    digest: bytes
    crashes: int


CrashReports = tuple[tuple[CrashReport, ...], tuple[bytes, ...]]
"""The crashes of the upstream, and suspects that were answered all the same."""


class SyncRequest(NamedTuple):
    """A router reports, renews its lease and asks for what is newer.

    ``boot`` identifies the process. ``ended`` are lives of the upstream that the
    router has seen end. ``hold_s`` is how long the leader may wait for news
    before it answers. ``suspects_checksum`` tells the suspects that the router
    knows. The cursors say how far the router is with changes that take several
    answers; without ``takes_plan`` none of the configuration is sent.
    A part has at most ``part_bytes``.
    """

    host: str
    address: str
    zone: str
    boot: int
    sequence: int
    plan_version: int
    fleet_version: int
    hold_s: float
    upstream: UpstreamReport | None = None
    ended: tuple[Instance, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    answered_suspects: tuple[bytes, ...] = ()
    suspects_checksum: int = 0
    plan_cursor: Cursor | None = None
    fleet_cursor: Cursor | None = None
    takes_plan: bool = True
    part_bytes: int = PART_BYTES


class SyncReply(NamedTuple):
    """The leader's answer, or the address of a control host that may lead.

    ``lease_s`` counts from the moment at which the request was sent; 0 means
    that there is no lease, because the sender is not the leader. ``suspects`` is
    ``None`` if the router knows them. ``plan_version`` and
    ``fleet_version`` are the newest versions. ``plan`` and ``fleet`` are parts of the
    changes that the router lacks, ``None`` if it lacks none or too much is
    under way to all routers. Their size is bounded,
    so that an answer arrives in time and renews the lease however much has changed.
    """

    leader: str
    controls: tuple[str, ...]
    lease_s: float
    plan: TransferPart | None = None
    fleet: TransferPart | None = None
    suspects: tuple[Suspect, ...] | None = None
    plan_version: int = 0
    fleet_version: int = 0


REQUEST_DECODER = msgspec.msgpack.Decoder(SyncRequest)
REPLY_DECODER = msgspec.msgpack.Decoder(SyncReply)
PLAN_DECODER = msgspec.msgpack.Decoder(tuple[PlanChange, ...])
FLEET_DECODER = msgspec.msgpack.Decoder(tuple[VersionedFleet, ...])
