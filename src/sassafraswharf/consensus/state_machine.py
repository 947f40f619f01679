"""The interface of a replicated state machine."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic state that only committed commands change."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
