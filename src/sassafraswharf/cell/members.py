"""Sessions and upstreams of a cell, as a part of its replicated state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.cell.outcome import Outcome
from sassafraswharf.cell.outcome import accepted
from sassafraswharf.cell.outcome import refused
from sassafraswharf.change_tracking_dict import ChangeTrackingDict
from sassafraswharf.codes import ResultCode
from sassafraswharf.journal.replication import read_quorum
from sassafraswharf.membership.transitions import UpstreamEvent
from sassafraswharf.membership.transitions import next_state
from sassafraswharf.membership.values import Session
from sassafraswharf.membership.values import SessionState
from sassafraswharf.membership.values import Upstream
from sassafraswharf.membership.values import UpstreamState


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.cell.commands import AnnounceUpstream
    from sassafraswharf.cell.commands import JournalPeersReady
    from sassafraswharf.cell.commands import OpenSession
    from sassafraswharf.cell.commands import SetJournalPeers
    from sassafraswharf.cell.commands import UpstreamLost
    from sassafraswharf.identifiers import HostId
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.identifiers import UpstreamId


MAX_GONE_UPSTREAMS = 256
ABSENT_STATES = (UpstreamState.GONE, UpstreamState.LOST)


class Members:
    """Sessions and upstreams, changed by the commands of the cell's log."""

    def __init__(
        self, sessions: Iterable[Session] = (), upstreams: Iterable[Upstream] = ()
    ) -> None:
        self.sessions = ChangeTrackingDict((value.session, value) for value in sessions)
        self.upstreams = ChangeTrackingDict(
            (value.upstream, value) for value in upstreams
        )

    def is_open(self, session: SessionId) -> bool:
        """Return whether the session is open and the newest of its host."""
        known = self.sessions.get(session)
        return known is not None and known.state == SessionState.OPEN

    def may_hold_lease(self, session: SessionId) -> bool:
        """Return whether the holder of the session may have a valid lease."""
        known = self.sessions.get(session)
        return known is not None and known.state != SessionState.CLOSED

    def is_present(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream is known and neither gone nor lost."""
        known = self.upstreams.get(upstream)
        return known is not None and known.state not in ABSENT_STATES

    def has_lost_journal_quorum(self, session: SessionId) -> bool:
        """Return whether a session's journal set has lost its read quorum."""
        known = self.sessions.get(session)
        if known is None or not known.generation:
            return False
        journal_set = {session, *known.peers}
        live = sum(self.may_hold_lease(member) for member in journal_set)
        return live < read_quorum(len(journal_set))

    def accepts_slots(
        self, upstream: UpstreamId, session: SessionId, service: ServiceName
    ) -> bool:
        """Return whether the upstream may be given slots under the session."""
        known = self.upstreams.get(upstream)
        return (
            known is not None
            and known.state == UpstreamState.ADMITTED
            and known.service == service
            and known.session == session
            and self.is_open(session)
        )

    def open_session(self, session: SessionId, command: OpenSession) -> Outcome:
        """Open a session and supersede the older one of the host.

        The same incarnation gets the same session again. A lower incarnation
        is a delayed request of an earlier run and is refused.
        """
        old = self._newest_session(command.host)
        if old is not None and old.incarnation > command.incarnation:
            message = f"incarnation {old.incarnation} is newer"
            return refused(ResultCode.SESSION_CLOSED, str(command.host), message)
        if old is not None and old.state == SessionState.OPEN:
            if old.incarnation == command.incarnation:
                return Outcome(ResultCode.OK, str(old.session), 0)
            self.sessions[old.session] = old._replace(state=SessionState.SUPERSEDED)
        self.sessions[session] = Session(
            session, *command[:-1], SessionState.OPEN, 0, (), 0, ()
        )
        return accepted(str(session))

    def close_session(self, session: SessionId) -> Outcome:
        """Close a session, which orphans its slots."""
        known = self.sessions.get(session)
        if known is None or known.state == SessionState.CLOSED:
            return refused(ResultCode.SESSION_CLOSED, str(session), "already closed")
        self.sessions[session] = known._replace(state=SessionState.CLOSED)
        return accepted(f"{known.host} {session}")

    def prune_sessions(self, referenced: set[SessionId]) -> None:
        """Drop closed sessions that no slot and no journal set in use refers to."""
        needed = set(referenced)
        for session in self.sessions.values():
            if session.session in referenced or session.state != SessionState.CLOSED:
                needed.update(session.peers, session.pending_peers)
        for session in list(self.sessions.values()):
            if session.state == SessionState.CLOSED and session.session not in needed:
                del self.sessions[session.session]

    def set_peers(self, command: SetJournalPeers) -> Outcome:
        """Set the pending journal set; a session's first set is active at once."""
        subject = f"{command.session} generation {command.generation}"
        known = self.sessions.get(command.session)
        if known is None or known.state != SessionState.OPEN:
            return refused(ResultCode.SESSION_CLOSED, subject, "not open")
        newest = max(known.generation, known.pending_generation)
        if command.generation <= newest:
            message = f"generation {newest} is newer"
            return refused(ResultCode.STALE_EPOCH, subject, message)
        changed = known._replace(
            pending_generation=command.generation, pending_peers=command.peers
        )
        self.sessions[command.session] = (
            changed if known.generation else _with_pending_peers_active(changed)
        )
        return accepted(subject)

    def activate_pending_peers(self, command: JournalPeersReady) -> Outcome:
        """Make the pending journal set the active one."""
        subject = f"{command.session} generation {command.generation}"
        known = self.sessions.get(command.session)
        if known is None or known.state == SessionState.CLOSED:
            return refused(ResultCode.SESSION_CLOSED, subject, "not open")
        if command.generation != known.pending_generation:
            return refused(ResultCode.STALE_EPOCH, subject, "not pending")
        self.sessions[command.session] = _with_pending_peers_active(known)
        return accepted(subject)

    def announce(self, command: AnnounceUpstream) -> Outcome:
        """Add or update an upstream."""
        subject = str(command.upstream)
        session = self.sessions.get(command.session)
        if session is None or session.state != SessionState.OPEN:
            return refused(ResultCode.SESSION_CLOSED, subject, "session is not open")
        if session.host != command.host:
            return refused(ResultCode.UNKNOWN_HOST, subject, "session of another host")
        old = self.upstreams.get(command.upstream)
        if old is None:
            self.upstreams[command.upstream] = Upstream(
                *command[:-1], UpstreamState.ANNOUNCED
            )
            return accepted(subject)
        return self._reannounce(old, command)

    def apply_event(self, upstream: UpstreamId, event: UpstreamEvent) -> Outcome:
        """Apply an event to an upstream; 4002 if its state does not allow it."""
        known = self.upstreams.get(upstream)
        if known is None:
            return refused(ResultCode.UNKNOWN_UPSTREAM, str(upstream), "unknown")
        state = next_state(known.state, event)
        if state is None:
            message = f"{event.name.lower()} is not possible: {known.state.name}"
            return refused(ResultCode.INVALID_TRANSITION, str(upstream), message)
        if state == UpstreamState.GONE:
            # Reinserted at the end to keep the upstreams in order of removal.
            del self.upstreams[upstream]
        self.upstreams[upstream] = known._replace(state=state)
        self.prune_gone_upstreams()
        return accepted(str(upstream))

    def prune_gone_upstreams(self) -> None:
        """Drop the oldest of more than 256 upstreams that are gone.

        A pruned upstream could announce itself again with the same incarnation.
        It therefore stays known until the session in which it left is closed,
        because its process may still run on that host.
        """
        gone = [u for u in self.upstreams.values() if u.state == UpstreamState.GONE]
        ended = [u for u in gone if not self.may_hold_lease(u.session)]
        for upstream in ended[: max(0, len(gone) - MAX_GONE_UPSTREAMS)]:
            del self.upstreams[upstream.upstream]

    def mark_lost(self, command: UpstreamLost) -> Outcome:
        """Mark an upstream as lost unless a newer incarnation is known."""
        known = self.upstreams.get(command.upstream)
        if known is not None and known.incarnation != command.incarnation:
            message = f"incarnation {known.incarnation} is known"
            return refused(ResultCode.INVALID_TRANSITION, known.upstream, message)
        return self.apply_event(command.upstream, UpstreamEvent.LOSE)

    def _reannounce(self, old: Upstream, command: AnnounceUpstream) -> Outcome:
        subject = str(command.upstream)
        problem = self._announcement_problem(old, command)
        is_restart = command.incarnation > old.incarnation
        event = UpstreamEvent.RESTART if is_restart else UpstreamEvent.ANNOUNCE
        state = next_state(old.state, event)
        if not problem and state is None:
            problem = f"a new incarnation is needed: {old.state.name}"
        if problem or state is None:
            return refused(ResultCode.INVALID_TRANSITION, subject, problem)
        new = Upstream(*command[:-1], state)
        if new == old:
            return Outcome(ResultCode.OK, subject, 0)
        self.upstreams[command.upstream] = new
        return accepted(subject)

    def _announcement_problem(self, old: Upstream, command: AnnounceUpstream) -> str:
        if command.incarnation < old.incarnation:
            return f"incarnation {old.incarnation} is newer"
        if command.service != old.service and old.state != UpstreamState.GONE:
            return f"it serves {old.service}"
        moved = command.host != old.host
        if (
            moved
            and old.state not in ABSENT_STATES
            and self.may_hold_lease(old.session)
        ):
            # The other host's router may still send requests to it.
            return f"it belongs to host {old.host}"
        return ""

    def _newest_session(self, host: HostId) -> Session | None:
        of_host = [s for s in self.sessions.values() if s.host == host]
        return max(of_host, key=lambda session: session.session, default=None)


def _with_pending_peers_active(session: Session) -> Session:
    return session._replace(
        generation=session.pending_generation,
        peers=session.pending_peers,
        pending_generation=0,
        pending_peers=(),
    )
