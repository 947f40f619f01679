"""The replicated state machine of a cell: applies commands of the Raft log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf.audit.trail import AuditTrail
from sassafraswharf.cell import commands
from sassafraswharf.cell import slot_changes
from sassafraswharf.cell import suspect_changes
from sassafraswharf.cell.audit_entries import audit_entry
from sassafraswharf.cell.codec import decode_command
from sassafraswharf.cell.codec import encode_reply
from sassafraswharf.cell.commands import Reply
from sassafraswharf.cell.commands import SessionOpened
from sassafraswharf.cell.counters import Counters
from sassafraswharf.cell.delta import CellDelta
from sassafraswharf.cell.list_versions import ListVersions
from sassafraswharf.cell.list_versions import if_changed
from sassafraswharf.cell.members import Members
from sassafraswharf.cell.outcome import Outcome
from sassafraswharf.cell.outcome import accepted
from sassafraswharf.cell.outcome import refused
from sassafraswharf.cell.slot_availability import AVAILABILITY_NEUTRAL_COMMANDS
from sassafraswharf.cell.slot_availability import SlotAvailability
from sassafraswharf.cell.slot_availability import memoize_by_owner
from sassafraswharf.cell.slot_availability import unserved_slot_s
from sassafraswharf.cell.snapshot import CellSnapshot
from sassafraswharf.cell.snapshot import decode_snapshot
from sassafraswharf.cell.snapshot import encode_snapshot
from sassafraswharf.codes import ResultCode
from sassafraswharf.identifiers import SessionId
from sassafraswharf.membership.transitions import UpstreamEvent
from sassafraswharf.ownership.hashing import MAX_SLOT_COUNT
from sassafraswharf.ownership.slot_table import SlotTable
from sassafraswharf.quarantine.suspect_table import SuspectTable


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.membership.values import Session
    from sassafraswharf.membership.values import Upstream
    from sassafraswharf.ownership.values import Holding


class CellState:
    """Sessions, upstreams, slot tables, suspects and audit trail of a cell.

    The same commands at the same indexes give the same state on every replica.
    Commands are checked when they are applied: a slot changes its owner only
    if at that point no live session may serve it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.services: dict[ServiceName, commands.ServiceSpec] = {}
        self.members = Members()
        self.tables: dict[ServiceName, SlotTable] = {}
        self.audit_trail = AuditTrail()
        self.suspects = SuspectTable()
        self.counters = Counters()
        self.version = 0
        self.applied_index = 0
        self.last_command_at = 0.0
        self.list_versions = ListVersions()
        self.slot_availability = SlotAvailability()

    @property
    def sessions(self) -> dict[SessionId, Session]:
        """Sessions that are open, superseded, or closed and still referenced."""
        return self.members.sessions

    @property
    def upstreams(self) -> dict[UpstreamId, Upstream]:
        """All announced upstreams that have not been pruned."""
        return self.members.upstreams

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply an encoded command and return the encoded reply.

        Data that can't be decoded changes nothing and gets a reply with code 6001.
        """
        decoded = decode_command(command)
        self.applied_index = index
        if decoded.is_err():
            failure = decoded.unwrap_err()
            reply = Reply(int(failure.code), failure.message, self.version, 0)
            return encode_reply(reply)
        value = decoded.unwrap()
        self._advance_time(value.at)
        outcome = _HANDLERS[type(value)](self, index, value)
        self.list_versions = self.list_versions.after(
            self.members, self.suspects, index
        )
        if outcome.changed:
            self.version = index
            self.slot_availability.is_stale |= (
                type(value) not in AVAILABILITY_NEUTRAL_COMMANDS
            )
        entry = audit_entry(index, value, outcome)
        if entry is not None:
            self.audit_trail.record(entry)
        return encode_reply(self._reply(value, outcome))

    def is_orphaned(self, holding: Holding) -> bool:
        """Return whether no live session may serve slots with this holding."""
        return holding.upstream is None or not (
            self.members.may_hold_lease(holding.session)
            and self.members.is_present(holding.upstream)
        )

    def orphan_check(self) -> Callable[[Holding], bool]:
        """Return a memoized ``is_orphaned`` that is valid until the next command."""
        return memoize_by_owner(self.is_orphaned)

    def delta_since(self, version: int) -> CellDelta:
        """Return the changes that a router at ``version`` has not received."""
        lists = self.list_versions
        return CellDelta(
            version,
            self.version,
            tuple(
                table.delta_since(version, self.version)
                for table in self.tables.values()
            ),
            if_changed(tuple(self.upstreams.values()), lists.upstreams, version),
            if_changed(tuple(self.sessions.values()), lists.sessions, version),
            if_changed(self.suspects.convictions(), lists.convictions, version),
            if_changed(self.suspects.suspected(), lists.suspects, version),
        )

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode_snapshot(
            CellSnapshot(
                self.applied_index,
                self.version,
                self.last_command_at,
                self.revision,
                tuple(self.services.values()),
                tuple(self.sessions.values()),
                tuple(self.upstreams.values()),
                tuple(table.pack() for table in self.tables.values()),
                tuple(self.audit_trail.entries),
                tuple(self.suspects.suspects.values()),
                tuple(self.suspects.reported_crashes),
                self.counters,
                self.list_versions,
                tuple(self.suspects.solo_reservations.values()),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state; a corrupt snapshot raises ``StorageError`` (5005)."""
        value = decode_snapshot(snapshot)
        self.applied_index = value.applied_index
        self.version = value.version
        self.last_command_at = value.last_command_at
        self.revision = value.revision
        self.services = {spec.name: spec for spec in value.services}
        self.members = Members(value.sessions, value.upstreams)
        self.tables = {
            packed.service: SlotTable.unpack(packed) for packed in value.tables
        }
        self.audit_trail = AuditTrail(value.audit_trail)
        self.suspects = SuspectTable(
            value.suspects, value.reported_crashes, value.solo_reservations
        )
        self.counters = value.counters
        self.list_versions = value.list_versions
        self.slot_availability.is_stale = True

    def _advance_time(self, at: float) -> None:
        # Wall clocks of successive leaders may differ; this time is monotonic.
        if at <= self.last_command_at:
            return
        if self.last_command_at:
            self.slot_availability.recount(
                self.tables, self.services, self.orphan_check()
            )
            self.counters = self.slot_availability.add_elapsed_to(
                self.counters, at - self.last_command_at
            )
        self.last_command_at = at
        self.suspects.expire(at)

    def _reply(self, command: commands.Command, outcome: Outcome) -> commands.AnyReply:
        if isinstance(command, commands.OpenSession):
            session = int(outcome.subject) if outcome.code == ResultCode.OK else 0
            return SessionOpened(
                int(outcome.code), outcome.message, self.version, SessionId(session)
            )
        return Reply(int(outcome.code), outcome.message, self.version, outcome.changed)

    def _set_services(self, _index: int, command: commands.SetServices) -> Outcome:
        subject = f"revision {command.revision}"
        if command.revision <= self.revision:
            is_same = command.revision == self.revision
            code = ResultCode.OK if is_same else ResultCode.CONFIGURATION_CONFLICT
            return refused(code, subject, f"revision {self.revision} is in force")
        for spec in command.services:
            problem = self._validation_error(spec)
            if problem:
                return refused(ResultCode.CONFIGURATION_INVALID, subject, problem)
        self.revision = command.revision
        self.services = {spec.name: spec for spec in command.services}
        for spec in command.services:
            # A session may still serve slots of a service that returns.
            if spec.name not in self.tables:
                self.tables[spec.name] = SlotTable(spec.name, spec.slot_count)
        self._admit_announced()
        return accepted(subject)

    def _validation_error(self, spec: commands.ServiceSpec) -> str:
        if not 0 < spec.slot_count <= MAX_SLOT_COUNT:
            return f"{spec.name}: slot count {spec.slot_count} is out of range"
        table = self.tables.get(spec.name)
        if table is not None and table.slot_count != spec.slot_count:
            return f"{spec.name}: the slot count can't change"
        return ""

    def _admits_any(self, service: ServiceName) -> bool:
        spec = self.services.get(service)
        return spec is not None and spec.admit_any

    def _admit_announced(self) -> None:
        for upstream in list(self.upstreams.values()):
            if self._admits_any(upstream.service):
                self.members.apply_event(upstream.upstream, UpstreamEvent.ADMIT)

    def _open_session(self, index: int, command: commands.OpenSession) -> Outcome:
        return self.members.open_session(SessionId(index), command)

    def _close_and_prune_sessions(
        self, since_renewal_ms: dict[SessionId, int]
    ) -> list[Outcome]:
        check = self.orphan_check()
        lost = unserved_slot_s(self.tables, self.services, since_renewal_ms, check)
        total = self.counters.unavailable_slot_s + lost
        self.counters = self.counters._replace(unavailable_slot_s=total)
        closed = [self.members.close_session(session) for session in since_renewal_ms]
        self._prune_sessions()
        return closed

    def _close_session(self, _index: int, command: commands.CloseSession) -> Outcome:
        return self._close_and_prune_sessions(
            {command.session: command.since_renewal_ms}
        )[0]

    def _close_sessions(self, _index: int, command: commands.CloseSessions) -> Outcome:
        since_renewal_ms = dict.fromkeys(command.sessions, 0)
        since_renewal_ms.update(
            zip(command.sessions, command.since_renewal_ms, strict=False)
        )
        closed = self._close_and_prune_sessions(since_renewal_ms)
        subjects = [outcome.subject for outcome in closed if outcome.changed]
        return accepted(", ".join(subjects), len(subjects))

    def _set_peers(self, _index: int, command: commands.SetJournalPeers) -> Outcome:
        return self.members.set_peers(command)

    def _peers_ready(self, _index: int, command: commands.JournalPeersReady) -> Outcome:
        return self.members.activate_pending_peers(command)

    def _announce(self, _index: int, command: commands.AnnounceUpstream) -> Outcome:
        outcome = self.members.announce(command)
        if outcome.code == ResultCode.OK and self._admits_any(command.service):
            self.members.apply_event(command.upstream, UpstreamEvent.ADMIT)
        return outcome

    def _admit(self, _index: int, command: commands.AdmitUpstream) -> Outcome:
        return self.members.apply_event(command.upstream, UpstreamEvent.ADMIT)

    def _drain(self, index: int, command: commands.DrainUpstream) -> Outcome:
        outcome = self.members.apply_event(command.upstream, UpstreamEvent.DRAIN)
        if outcome.changed:
            # Closing the slots here needs no further command of the leader, so
            # the drain proceeds even if the leader is lost now.
            table, slots = self._owned_slots(command.upstream)
            if table is not None:
                slot_changes.close_slots(table, slots, index)
        return outcome

    def _remove(self, _index: int, command: commands.RemoveUpstream) -> Outcome:
        _, slots = self._owned_slots(command.upstream)
        if slots:
            message = f"{len(slots)} slots have not been released"
            return refused(
                ResultCode.INVALID_TRANSITION, str(command.upstream), message
            )
        return self.members.apply_event(command.upstream, UpstreamEvent.REMOVE)

    def _mark_lost(self, _index: int, command: commands.UpstreamLost) -> Outcome:
        return self.members.mark_lost(command)

    def _owned_slots(self, upstream: UpstreamId) -> tuple[SlotTable | None, list[int]]:
        known = self.upstreams.get(upstream)
        table = self.tables.get(known.service) if known else None
        if table is None:
            return None, []
        slots = table.slots_where(
            lambda holding: (
                holding.upstream == upstream and not self.is_orphaned(holding)
            )
        )
        return table, slots

    def _change_slots(
        self,
        service: ServiceName,
        change: Callable[[SlotTable], int],
    ) -> Outcome:
        table = self.tables.get(service)
        if table is None:
            return refused(ResultCode.UNKNOWN_SERVICE, str(service), "unknown service")
        changed = change(table)
        if not changed:
            return refused(ResultCode.STALE_EPOCH, str(service), "no slot changed")
        return accepted(f"{service}: {changed} slots", changed)

    def _close_slots(self, index: int, command: commands.CloseSlots) -> Outcome:
        return self._change_slots(
            command.service,
            lambda table: slot_changes.close_ranges(
                table, command, index, self.orphan_check()
            ),
        )

    def _release_slots(self, index: int, command: commands.SlotsReleased) -> Outcome:
        return self._change_slots(
            command.service, lambda table: slot_changes.release(table, command, index)
        )

    def _journal_ready(self, index: int, command: commands.JournalReady) -> Outcome:
        outcome = self._change_slots(
            command.service,
            lambda table: slot_changes.journal_ready(table, command, index),
        )
        # No other slot change removes the last reference to a session.
        self._prune_sessions()
        return outcome

    def _release_journal(self, index: int, command: commands.ReleaseJournal) -> Outcome:
        return self._change_slots(
            command.service,
            lambda table: slot_changes.release_journal(table, self.members, index),
        )

    def _assign_slots(self, index: int, command: commands.AssignSlots) -> Outcome:
        def accepts(upstream: UpstreamId, session: SessionId) -> bool:
            return self.members.accepts_slots(upstream, session, command.service)

        check = self.orphan_check()

        def change(table: SlotTable) -> int:
            done = slot_changes.assign(table, command, index, check, accepts)
            self.counters = self.counters._replace(
                slots_assigned=self.counters.slots_assigned + done.assigned,
                slots_moved=self.counters.slots_moved + done.moved,
                slots_returned=self.counters.slots_returned + done.returned,
            )
            return done.assigned

        return self._change_slots(command.service, change)

    def _prune_sessions(self) -> None:
        named = (table.sessions() for table in self.tables.values())
        self.members.prune_sessions(set().union(*named))


_HANDLERS: dict[type[Any], Callable[[CellState, int, Any], Outcome]] = {
    commands.SetServices: CellState._set_services,
    commands.OpenSession: CellState._open_session,
    commands.CloseSession: CellState._close_session,
    commands.CloseSessions: CellState._close_sessions,
    commands.SetJournalPeers: CellState._set_peers,
    commands.JournalPeersReady: CellState._peers_ready,
    commands.AnnounceUpstream: CellState._announce,
    commands.AdmitUpstream: CellState._admit,
    commands.DrainUpstream: CellState._drain,
    commands.RemoveUpstream: CellState._remove,
    commands.UpstreamLost: CellState._mark_lost,
    commands.CloseSlots: CellState._close_slots,
    commands.SlotsReleased: CellState._release_slots,
    commands.AssignSlots: CellState._assign_slots,
    commands.JournalReady: CellState._journal_ready,
    commands.ReleaseJournal: CellState._release_journal,
    commands.ReportCrash: lambda state, _, command: suspect_changes.report_crash(
        state.suspects, command, state.last_command_at
    ),
    commands.ReserveSolo: lambda state, _, command: suspect_changes.reserve_solo(
        state.suspects, command, state.last_command_at
    ),
    commands.ClearSuspects: lambda state, _, command: suspect_changes.clear(
        state.suspects, command
    ),
    commands.ReleaseSuspect: lambda state, _, command: suspect_changes.release(
        state.suspects, command
    ),
}
