"""Measures how long slots have no owner or are in handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.cell import commands
from sassafraswharf.ownership.slot_table import UNASSIGNED


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Mapping

    from sassafraswharf.cell.counters import Counters
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.ownership.values import Holding


AVAILABILITY_NEUTRAL_COMMANDS = (
    commands.SetJournalPeers,
    commands.JournalPeersReady,
    commands.JournalReady,
    commands.ReportCrash,
    commands.ReserveSolo,
    commands.ClearSuspects,
    commands.ReleaseSuspect,
)
"""Commands that don't change which slots are served."""


class SlotAvailability:
    """Numbers of orphaned slots and of slots in handover, as of the last command.

    They are counted when time has passed and not after each command: the leader
    proposes many commands with one timestamp, and counting the slots of 2,400
    hosts takes milliseconds.
    """

    def __init__(self) -> None:
        self.orphaned = 0
        self.closing = 0
        self.is_stale = True

    def recount(
        self,
        tables: Mapping[ServiceName, SlotTable],
        services: Container[ServiceName],
        is_orphaned: Callable[[Holding], bool],
    ) -> None:
        """Count the slots of all services that are configured."""
        if not self.is_stale:
            return
        self.is_stale = False
        self.orphaned = self.closing = 0
        for name, table in tables.items():
            if name not in services:
                continue
            for holding, slots in table.holdings():
                if holding == UNASSIGNED:
                    continue
                if is_orphaned(holding):
                    self.orphaned += slots
                elif holding.closing:
                    self.closing += slots

    def add_elapsed_to(self, counters: Counters, elapsed_s: float) -> Counters:
        """Return the counters with the slot-seconds of the elapsed time added."""
        return counters._replace(
            unavailable_slot_s=counters.unavailable_slot_s + elapsed_s * self.orphaned,
            closing_slot_s=counters.closing_slot_s + elapsed_s * self.closing,
        )


def unserved_slot_s(
    tables: Mapping[ServiceName, SlotTable],
    services: Container[ServiceName],
    since_renewal_ms: Mapping[SessionId, int],
    is_orphaned: Callable[[Holding], bool],
) -> float:
    """Return the slot-seconds since the last renewals of the given sessions."""
    return sum(
        since_renewal_ms[holding.session] / 1_000 * slots
        for name, table in tables.items()
        if name in services
        for holding, slots in table.holdings()
        if holding.session in since_renewal_ms and not is_orphaned(holding)
    )


def memoize_by_owner(check: Callable[[Holding], bool]) -> Callable[[Holding], bool]:
    """Return the check, memoized by upstream and session.

    After the loss of a zone the same owner has many holdings that differ in
    their sources.
    """
    known: dict[tuple[UpstreamId | None, SessionId], bool] = {}

    def check_once(holding: Holding) -> bool:
        owner = holding[:2]
        found = known.get(owner)
        if found is None:
            found = known[owner] = check(holding)
        return found

    return check_once
