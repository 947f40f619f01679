"""The in-memory log of a replica, with the members as of each index."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.consensus.entry import EMPTY_SNAPSHOT
from sassafraswharf.consensus.entry import Entry
from sassafraswharf.consensus.entry import EntryKind
from sassafraswharf.consensus.entry import Snapshot
from sassafraswharf.consensus.voters import Voters
from sassafraswharf.consensus.voters import decode_voters


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


# Kept after a snapshot so that a follower that is slightly behind needs no snapshot.
RETAINED_ENTRIES = 500


class ReplicaLog:
    """The newest snapshot and the entries after ``base_index``.

    ``base_index`` may be lower than the index of the snapshot.
    """

    def __init__(
        self,
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
        bootstrap_voters: Voters,
    ) -> None:
        self.snapshot = snapshot or EMPTY_SNAPSHOT
        self.base_index = self.snapshot.log_index
        self.base_term = self.snapshot.term
        self.entries: list[Entry] = []
        base = self.snapshot.voters if self.snapshot.log_index else bootstrap_voters
        self.configurations: list[tuple[int, Voters]] = [(self.base_index, base)]
        self.append(entry for entry in entries if entry.log_index > self.base_index)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def voters(self) -> Voters:
        """Return the newest voters, which count as soon as they are appended."""
        return self.configurations[-1][1]

    @property
    def voters_index(self) -> int:
        """Return the index of the newest voters."""
        return self.configurations[-1][0]

    def voters_at(self, index: int) -> Voters:
        """Return the members as of an index."""
        return [one for at, one in self.configurations if at <= index][-1]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        if first <= self.base_index:
            raise IndexError(f"entry {first} is not after {self.base_index}")
        return tuple(self.entries[first - self.base_index - 1 : last - self.base_index])

    def batch(self, first: int, count: int, size: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, limited by count and bytes of data."""
        taken = self.between(first, min(first + count - 1, self.last_index))
        used = 0
        for position, entry in enumerate(taken):
            used += len(entry.data)
            if used > size and position:
                return taken[:position]
        return taken

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries that continue the log."""
        for entry in entries:
            self.entries.append(entry)
            if entry.kind is EntryKind.VOTERS:
                self.configurations.append((entry.log_index, decode_voters(entry.data)))

    def truncate(self, index: int) -> None:
        """Remove the entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]
        while self.configurations[-1][0] >= index:
            self.configurations.pop()

    def compact(self, snapshot: Snapshot) -> None:
        """Keep the snapshot and drop entries that it covers."""
        self.snapshot = snapshot
        self.rebase(max(snapshot.log_index - RETAINED_ENTRIES, self.base_index))

    def rebase(self, index: int) -> None:
        """Drop the entries up to ``index``."""
        term = self.term_at(index)
        if term is None:
            return
        base = self.voters_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        later = [one for one in self.configurations if one[0] > index]
        self.configurations = [(index, base), *later]

    def install(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """Replace the log by a snapshot; return the later entries that stay valid."""
        agrees = self.term_at(snapshot.log_index) == snapshot.term
        kept = self.between(snapshot.log_index + 1, self.last_index) if agrees else ()
        self.snapshot = snapshot
        self.base_index = snapshot.log_index
        self.base_term = snapshot.term
        self.entries = []
        self.configurations = [(snapshot.log_index, snapshot.voters)]
        self.append(kept)
        return kept
