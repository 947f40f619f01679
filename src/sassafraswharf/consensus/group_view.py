"""Read access to the state of a group through the local replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.consensus.voters import Voters


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.replica import Replica
    from sassafraswharf.identifiers import ReplicaId


class GroupView:
    """Leader, members and term as known to the local replica."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_leader = False
        self.replica: Replica | None = None

    @property
    def leader(self) -> ReplicaId | None:
        """Return the identity of the leader, as far as it is known."""
        return self.replica.leader if self.replica else None

    @property
    def identity(self) -> ReplicaId | None:
        """Return ``<name>:<random>`` after the start."""
        return self.replica.identity if self.replica else None

    @property
    def voters(self) -> Voters:
        """Return the current members."""
        return self.replica.voters if self.replica else Voters()

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.replica.term if self.replica else 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry in the log, committed or not."""
        return self.replica.log.last_index if self.replica else 0

    def is_current_leader(self) -> bool:
        """Return whether this replica may serve reads and leases as the leader now."""
        replica = self.replica
        return bool(
            replica and self.is_leader and replica.is_current_leader(self.clock.now())
        )
