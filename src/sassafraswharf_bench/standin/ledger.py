"""State per key and execution counts per idempotency key."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import TypedDict


if TYPE_CHECKING:
    from pathlib import Path


class KeyState(TypedDict):
    """State of one key."""

    bookings: int
    deposits: int


class RunCounts(TypedDict):
    """How often each idempotency key has run."""

    runs: dict[str, int]
    repeated: list[str]
    total: int


class Ledger:
    """Bookings and deposits per key, with a run count per idempotency key.

    The optional runs file gets one line per run, so that the counts of a
    crashed process can still be totalled. It isn't synced: it has to survive
    a crash of the process, not of the host.
    """

    def __init__(self, runs_file: Path | None = None) -> None:
        self.keys: dict[str, KeyState] = {}
        self.runs: Counter[str] = Counter()
        self.runs_file = runs_file

    def lookup(self, key: str) -> KeyState:
        """Return the state of the key."""
        return self.keys.get(key) or KeyState(bookings=0, deposits=0)

    def add(
        self, key: str, bookings: int, deposits: int, idempotency_key: str | None
    ) -> KeyState:
        """Add to the state of the key, count the run and return the new state."""
        state = self.keys.setdefault(key, KeyState(bookings=0, deposits=0))
        state["bookings"] += bookings
        state["deposits"] += deposits
        if idempotency_key is not None:
            self.runs[idempotency_key] += 1
            self._append(idempotency_key)
        return state

    def counts(self) -> RunCounts:
        """Return the run counts and the idempotency keys that ran repeatedly."""
        return RunCounts(
            runs=dict(self.runs),
            repeated=sorted(key for key, count in self.runs.items() if count > 1),
            total=self.runs.total(),
        )

    def _append(self, idempotency_key: str) -> None:
        if self.runs_file is None:
            return
        with self.runs_file.open("a", encoding="utf-8") as file:
            file.write(f"{idempotency_key}\n")
