"""Builds the audit trail entries of a cell's commands."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from sassafraswharf.audit.trail import AuditEntry
from sassafraswharf.cell import commands


if TYPE_CHECKING:
    from sassafraswharf.cell.outcome import Outcome


UNAUDITED_COMMANDS: Final[frozenset[type[Any]]] = frozenset(
    {
        commands.SetJournalPeers,
        commands.JournalPeersReady,
        commands.SlotsReleased,
        commands.JournalReady,
        commands.ReserveSolo,
        commands.ClearSuspects,
    }
)
"""Follow-up steps of audited commands. A move of slots takes several of them, and
their entries would displace those of operator commands."""


def audit_entry(
    index: int, command: commands.Command, outcome: Outcome
) -> AuditEntry | None:
    """Return the entry of a command, or ``None`` if it is not audited.

    Commands that changed something and all operator commands, including refused
    ones, are audited.
    """
    operator = getattr(command, "actor", "")
    if type(command) in UNAUDITED_COMMANDS or not (outcome.changed or operator):
        return None
    revision = index
    if isinstance(command, commands.SetServices):
        revision = command.revision
    return AuditEntry(
        command.at,
        operator or getattr(command, "host", "cell"),
        type(command).__name__,
        outcome.subject,
        revision,
        int(outcome.code),
    )
