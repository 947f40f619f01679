"""Actions that a replica returns for its caller to execute in order."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

from sassafraswharf.consensus.voters import Voters
from sassafraswharf.identifiers import ReplicaId  # noqa: TC001 (msgspec needs it)


if TYPE_CHECKING:
    from sassafraswharf.consensus.entry import Entry
    from sassafraswharf.consensus.entry import Snapshot
    from sassafraswharf.consensus.messages import Body


class Role(Enum):
    """Role of a replica in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(NamedTuple):
    """State that is synced before any message that depends on it is sent."""

    identity: ReplicaId
    term: int = 0
    voted_for: ReplicaId | None = None
    bootstrap_voters: Voters = Voters()


class PersistState(NamedTuple):
    """Sync the state before sending any later message."""

    state: HardState


class PersistEntries(NamedTuple):
    """Append the entries, sync them, then call ``Replica.persisted``."""

    entries: tuple[Entry, ...]


class TruncateFrom(NamedTuple):
    """Remove the entries from ``log_index`` on."""

    log_index: int


class SendMessage(NamedTuple):
    """Send the message without a guarantee of delivery."""

    target: ReplicaId
    body: Body


class ApplyEntries(NamedTuple):
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


class InstallSnapshot(NamedTuple):
    """Replace the state; the log becomes the snapshot and ``retained``."""

    snapshot: Snapshot
    retained: tuple[Entry, ...]


class RoleChanged(NamedTuple):
    """The replica has a new role or a new term as leader."""

    role: Role
    term: int


Action: TypeAlias = (
    PersistState
    | PersistEntries
    | TruncateFrom
    | SendMessage
    | ApplyEntries
    | InstallSnapshot
    | RoleChanged
)
