"""What a replicated log needs from the state it replicates."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic state that is changed only by applied commands."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a log index and return its reply."""

    def snapshot(self) -> bytes:
        """Return the state after the last applied command."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""
