"""Reports of routers to the leader of the control group, and its replies."""

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


EXPIRED_LEASE_S = 0.001
"""A lease that has ended when it arrives, for a router that must have a newer table
first. With 0 it would turn to another control host and drop the table."""


class HeldRow(NamedTuple):
    """Keys that an upstream holds, or that it may still hold."""

    first: int
    last: int
    fence: int


class ReleasedRow(NamedTuple):
    """Keys that an upstream has released, with the token for the next owner."""

    first: int
    last: int
    handover_token: str


class KeyLoad(NamedTuple):
    """Number of requests for a key since the last report."""

    key: int
    requests: int


class UpstreamReport(NamedTuple):
    """The state of the upstream beside a router.

    ``is_complete`` says that ``held`` lists all keys that the upstream can
    still hold; a router that has just started can't know them. ``silent_s`` is the
    time since its last heartbeat. ``busy_slots`` is the mean number of requests
    in progress, ``service_s`` the mean service time. ``restarting`` says that
    the router is being stopped while the upstream keeps running. ``refused`` are keys
    that can't be granted, since the upstream has seen a newer fence for some of them.
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
    """An upstream incarnation that crashed, and the requests it was running then."""

    instance: Instance
    digests: tuple[bytes, ...]


class Suspect(NamedTuple):
    """The digest of a request and the number of incarnations that crashed with it."""

    digest: bytes
    crashes: int


CrashReports = tuple[tuple[CrashReport, ...], tuple[bytes, ...]]
"""The crashes of the upstream, and suspects that were answered without a crash."""


class SyncRequest(NamedTuple):
    """A router's report, which renews its lease and polls for newer state.

    ``boot`` identifies the router process. ``ended`` are incarnations of the
    upstream that the router has seen exit. ``hold_s`` is how long the leader may
    delay its reply until there is an update (long polling). ``suspects_checksum``
    identifies the router's list of suspects. The cursors give the progress of
    transfers that take several replies; without ``takes_plan`` none of the
    configuration is sent.
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
    """The leader's reply, or the address of a control host that may be leader.

    ``lease_s`` counts from the time at which the request was sent; 0 means
    that there is no lease, because the sender is not the leader, and
    ``EXPIRED_LEASE_S`` that the router's table is too old for one. ``suspects`` is
    ``None`` if the router has the current list. ``plan_version`` and
    ``fleet_version`` are the newest versions. ``plan`` and ``fleet`` are parts of the
    changes that the router lacks, ``None`` if it lacks none or too
    many bytes are in flight to all routers. Their size is limited, so that a reply
    arrives in time and renews the lease regardless of how much has changed.
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
