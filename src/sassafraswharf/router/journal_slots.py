"""Synchronizes the journal with the slots that this host owns."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

from sassafraswharf.cell.commands import JournalPeersReady
from sassafraswharf.cell.commands import JournalReady
from sassafraswharf.journal.takeover import JournalSet
from sassafraswharf.journal.takeover import TakeOver
from sassafraswharf.journal.takeover import TakeOverPhase
from sassafraswharf.leases.holder import NO_SESSION
from sassafraswharf.ownership.slot_table import ranges_of
from sassafraswharf.ownership.values import SlotRange


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.cell.commands import Command
    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.journal.journal_quorum import JournalQuorum
    from sassafraswharf.leases.holder import LeaseHolder
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.router.journal_coordinator import JournalCoordinator
    from sassafraswharf.router.view import RouterView

    Propose = Callable[[str, Command], None]


class JournalSlots:
    """Assigns slots to the journal, starts takeovers and reports their completion.

    ``propose`` commits a command in the background, one at a time per name.
    """

    def __init__(
        self,
        view: RouterView,
        holder: LeaseHolder,
        journal_coordinator: JournalCoordinator,
        clock: Clock,
        propose: Propose,
    ) -> None:
        """Start without slots."""
        self.view = view
        self.holder = holder
        self.journal_coordinator = journal_coordinator
        self.clock = clock
        self.propose = propose
        self.slot_states: dict[tuple[ServiceName, int], tuple[int, bool]] = {}
        self.last_synced: tuple[SessionId, int] = (NO_SESSION, 0)

    def sync(self) -> None:
        """Bring the journal in line with the session and the view."""
        session = self.holder.session
        quorum = self.journal_coordinator.quorum
        if session != (NO_SESSION if quorum is None else quorum.session):
            self.journal_coordinator.open_session(session)
            self.slot_states.clear()
        quorum = self.journal_coordinator.quorum
        if quorum is None:
            return
        quorum.retentions = self.view.retentions
        self.sync_peers(quorum)
        if self.last_synced != (session, self.view.version):
            seen_session, seen_version = self.last_synced
            since = seen_version if seen_session == session else 0
            self.last_synced = (session, self.view.version)
            for table in self.view.tables.values():
                self.sync_table(quorum, table, since)
        self.report_takeovers(quorum)

    def sync_peers(self, quorum: JournalQuorum) -> None:
        """Use the newest journal set and report once it has copies of all records."""
        session = self.view.sessions.get(quorum.session)
        if session is None:
            return
        now = self.clock.now()
        if not session.pending_generation:
            quorum.set_peers(session.generation, session.peers, now)
            return
        quorum.set_peers(session.pending_generation, session.pending_peers, now)
        if quorum.is_copied(
            record.key for record in quorum.store.records_of(session.session)
        ):
            self.propose(
                "journal peers ready",
                JournalPeersReady(
                    session.session, session.pending_generation, time.time()
                ),
            )

    def sync_table(self, quorum: JournalQuorum, table: SlotTable, since: int) -> None:
        """Apply the slots that were acquired, lost or taken over since a version.

        Only changed slots are read, because reading a complete table of 65,536 slots
        takes tens of milliseconds.
        """
        service = table.service
        lost: list[int] = []
        gained: dict[tuple[int, tuple[SessionId, ...]], list[int]] = {}
        for run in table.runs_in(ranges_of(table.changed_since(since))):
            slots = range(run.start, run.start + run.length)
            if run.session == quorum.session and run.upstream and not run.closing:
                gained.setdefault((run.epoch, run.sources), []).extend(slots)
            else:
                lost += [slot for slot in slots if (service, slot) in self.slot_states]
        if lost:
            quorum.disown(service, lost, self.clock.now())
            for slot in lost:
                del self.slot_states[service, slot]
        for (epoch, sources), found in gained.items():
            self.acquire_slots(quorum, service, epoch, sources, found)
        self.journal_coordinator.decision_changed.notify()

    def acquire_slots(
        self,
        quorum: JournalQuorum,
        service: ServiceName,
        epoch: int,
        sources: tuple[SessionId, ...],
        slots: list[int],
    ) -> None:
        """Own slots at once, or start a takeover if they have source sessions."""
        state = (epoch, not sources)
        new = [slot for slot in slots if self.slot_states.get((service, slot)) != state]
        if not new:
            return
        for slot in new:
            self.slot_states[service, slot] = state
        if not sources:
            self.adopt_found_records(quorum, service, epoch)
            quorum.own(service, new, epoch, ready=True)
            return
        spans = tuple((part.start, part.length) for part in ranges_of(new))
        sets = [self.journal_set_of(source) for source in sources]
        takeover = TakeOver(service, spans, epoch, sets, quorum, self.clock.now())
        self.journal_coordinator.takeovers.append(takeover)
        self.journal_coordinator.advance()

    def adopt_found_records(
        self, quorum: JournalQuorum, service: ServiceName, epoch: int
    ) -> None:
        """Adopt the records found by unfinished takeovers that an operator has ended.

        Less than a quorum was read, but each record that was found still prevents a
        request from running again.
        """
        for takeover in self.journal_coordinator.takeovers:
            if (
                (takeover.service, takeover.epoch) == (service, epoch)
                and takeover.quorum is quorum
                and takeover.phase is TakeOverPhase.SEALING
            ):
                quorum.adopt(takeover.merged.values(), epoch, self.clock.now())

    def journal_set_of(self, source: SessionId) -> JournalSet:
        """Return the committed journal set of a session.

        A session that the cell has removed never had a set, or its records are past
        their retention time.
        """
        session = self.view.sessions.get(source)
        if session is None:
            return JournalSet(source, 0, ())
        members = (source, *(peer for peer in session.peers if peer != source))
        return JournalSet(source, session.generation, members)

    def report_takeovers(self, quorum: JournalQuorum) -> None:
        """Propose the completed takeovers and drop those that no longer apply."""
        pending = []
        for takeover in self.journal_coordinator.takeovers:
            service = takeover.service
            if takeover.quorum is not quorum or takeover.phase is TakeOverPhase.LOST:
                continue
            current = [
                slot
                for slot in takeover.slots()
                if self.slot_states.get((service, slot)) == (takeover.epoch, False)
            ]
            if not current:
                continue
            pending.append(takeover)
            if takeover.phase is TakeOverPhase.READY:
                ranges = tuple(SlotRange(*run) for run in takeover.runs)
                self.propose(
                    f"journal ready {service} {takeover.epoch} {takeover.runs[0]}",
                    JournalReady(
                        service, ranges, takeover.epoch, quorum.session, time.time()
                    ),
                )
        self.journal_coordinator.takeovers = pending
