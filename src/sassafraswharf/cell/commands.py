"""Commands of a cell's Raft log and the replies to them.

``at`` is wall-clock time in seconds since the epoch, set by the proposer and
used for the audit trail, the counters and the expiry of convictions.
"""

# msgspec resolves the annotations of decoded values at runtime.
# ruff: noqa: TC001

from __future__ import annotations

from typing import NamedTuple

from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.ownership.values import SlotRange


class ServiceSpec(NamedTuple):
    """The fields of a service document that the cell uses."""

    name: ServiceName
    slot_count: int
    admit_any: bool


class Assignment(NamedTuple):
    """Consecutive slots and their new owner."""

    start: int
    length: int
    upstream: UpstreamId
    session: SessionId


class SetServices(NamedTuple):
    """Replace the services by those of a configuration revision."""

    revision: int
    services: tuple[ServiceSpec, ...]
    actor: str = "configuration"
    at: float = 0.0


class OpenSession(NamedTuple):
    """Open a session; the incarnation grows with each start of the router."""

    host: HostId
    incarnation: int
    zone: str
    public_address: str
    internal_address: str
    lease_address: str
    control_address: str
    at: float = 0.0


class CloseSession(NamedTuple):
    """Close a session whose lease has expired or that its router has closed.

    ``since_renewal_ms`` is the time since the last renewal that the leader has
    acknowledged; the slots of the session count as unavailable from then on.
    """

    session: SessionId
    reason: str
    at: float = 0.0
    since_renewal_ms: int = 0


class CloseSessions(NamedTuple):
    """Close the sessions whose leases ended at the same time.

    ``since_renewal_ms`` has one time for each session, as in ``CloseSession``, and
    is empty if the times are not known.
    """

    sessions: tuple[SessionId, ...]
    reason: str
    at: float = 0.0
    since_renewal_ms: tuple[int, ...] = ()


class SetJournalPeers(NamedTuple):
    """Assign a new journal set to a session."""

    session: SessionId
    generation: int
    peers: tuple[SessionId, ...]
    at: float = 0.0


class JournalPeersReady(NamedTuple):
    """The session's host has copied its records to the pending journal set."""

    session: SessionId
    generation: int
    at: float = 0.0


class AnnounceUpstream(NamedTuple):
    """Announce an upstream; sent by the router of its host."""

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
    at: float = 0.0


class AdmitUpstream(NamedTuple):
    """Let an announced upstream own slots."""

    upstream: UpstreamId
    actor: str
    at: float = 0.0


class DrainUpstream(NamedTuple):
    """Start the handover of all slots of an upstream."""

    upstream: UpstreamId
    actor: str
    at: float = 0.0


class RemoveUpstream(NamedTuple):
    """Remove an upstream that owns no slots of a live session."""

    upstream: UpstreamId
    actor: str
    at: float = 0.0


class UpstreamLost(NamedTuple):
    """The process of an upstream has exited, as observed by its own router."""

    upstream: UpstreamId
    incarnation: int
    at: float = 0.0


class CloseSlots(NamedTuple):
    """Start the handover of slots."""

    service: ServiceName
    runs: tuple[SlotRange, ...]
    at: float = 0.0


class SlotsReleased(NamedTuple):
    """The session has finished all requests of these closing slots.

    ``epoch`` is the table version at which the router saw them closing. Slots
    with a newer epoch are skipped, so late duplicates have no effect.
    """

    service: ServiceName
    runs: tuple[SlotRange, ...]
    epoch: int
    session: SessionId
    at: float = 0.0


class AssignSlots(NamedTuple):
    """Assign orphaned slots to upstreams; the log index is the epoch."""

    service: ServiceName
    assignments: tuple[Assignment, ...]
    at: float = 0.0


class JournalReady(NamedTuple):
    """The owner has sealed and copied the journals of slots of one epoch."""

    service: ServiceName
    slots: tuple[SlotRange, ...]
    epoch: int
    session: SessionId
    at: float = 0.0


class ReleaseJournal(NamedTuple):
    """An operator discards records of a service that have lost their quorum."""

    service: ServiceName
    actor: str
    at: float = 0.0


class ReportCrash(NamedTuple):
    """An upstream crashed while it ran the requests with these digests."""

    upstream: UpstreamId
    incarnation: int
    digests: tuple[bytes, ...]
    alone: bool
    at: float = 0.0


class ReserveSolo(NamedTuple):
    """A router asks to run a suspect alone; code 0 grants it.

    ``seconds`` is the time limit of the run.
    """

    digest: bytes
    session: SessionId
    seconds: int
    at: float = 0.0


class ClearSuspects(NamedTuple):
    """These suspects ran alone and their upstream did not crash."""

    digests: tuple[bytes, ...]
    at: float = 0.0


class ReleaseSuspect(NamedTuple):
    """An operator ends a conviction."""

    digest: bytes
    actor: str
    at: float = 0.0


Command = (
    SetServices
    | OpenSession
    | CloseSession
    | CloseSessions
    | SetJournalPeers
    | JournalPeersReady
    | AnnounceUpstream
    | AdmitUpstream
    | DrainUpstream
    | RemoveUpstream
    | UpstreamLost
    | CloseSlots
    | SlotsReleased
    | AssignSlots
    | JournalReady
    | ReleaseJournal
    | ReportCrash
    | ReserveSolo
    | ClearSuspects
    | ReleaseSuspect
)


class Reply(NamedTuple):
    """The result of a command.

    ``version`` is the version of the cell after the command, ``changed`` the
    number of things changed (slots, sessions, upstreams or requests).
    """

    code: int
    message: str
    version: int
    changed: int


class SessionOpened(NamedTuple):
    """The reply to ``OpenSession``; the session is 0 if it was refused."""

    code: int
    message: str
    version: int
    session: SessionId


AnyReply = Reply | SessionOpened
