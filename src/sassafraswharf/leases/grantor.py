"""Leases of all host sessions of a cell, as granted by its leader."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseRefusal


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.leases.messages import LeaseRenewal
    from sassafraswharf.leases.messages import LeaseTiming


class GrantedLease(NamedTuple):
    """The newest renewal of one session and whether renewals are still accepted."""

    renewed_at: float
    sequence: int
    renewable: bool


class LeaseGrantor:
    """In-memory lease state of a leader; a new leader creates a new grantor.

    Create it only after the leader has applied every entry of earlier terms:
    otherwise it would renew a session whose closing is already in the log.
    Every session given here counts as renewed at ``became_leader_at``, which
    covers all grants of the previous leader. ``superseded`` are sessions that
    a newer session of the same host has replaced; their leases expire and are
    not renewed. Call ``on_renewal`` only while the replica is the current leader.
    """

    def __init__(
        self,
        timing: LeaseTiming,
        became_leader_at: float,
        sessions: Iterable[SessionId],
        superseded: Iterable[SessionId] = (),
        leader_term: int = 0,
    ) -> None:
        self.timing = timing
        self.leader_term = leader_term
        self.configuration_revision = 0
        self.table_version = 0
        self.leases: dict[SessionId, GrantedLease] = {}
        for session in sessions:
            self.leases[session] = GrantedLease(became_leader_at, 0, True)
        for session in superseded:
            self.leases[session] = GrantedLease(became_leader_at, 0, False)

    def on_renewal(self, renewal: LeaseRenewal, now: float) -> LeaseAck | LeaseRefusal:
        """Extend the lease of an open session or refuse with code 4004."""
        lease = self.leases.get(renewal.session)
        if lease is None or not lease.renewable:
            return LeaseRefusal(
                renewal.session, renewal.sequence, ResultCode.SESSION_CLOSED, None
            )
        # A repeated or reordered renewal was sent before the newest one, so
        # the term already granted covers it.
        if renewal.sequence > lease.sequence:
            self.leases[renewal.session] = GrantedLease(now, renewal.sequence, True)
        return LeaseAck(
            renewal.session,
            renewal.sequence,
            self.timing.term_s,
            self.leader_term,
            self.configuration_revision,
            self.table_version,
        )

    def on_session_opened(self, session: SessionId, now: float) -> None:
        """Start the lease of a session whose opening was applied at ``now``."""
        self.leases.setdefault(session, GrantedLease(now, 0, True))

    def on_session_superseded(self, session: SessionId) -> None:
        """Refuse further renewals; the lease stays valid until it expires."""
        lease = self.leases.get(session)
        if lease is not None:
            self.leases[session] = lease._replace(renewable=False)

    def on_session_closed(self, session: SessionId) -> None:
        """Remove the lease of a session whose closing was applied."""
        self.leases.pop(session, None)

    def since_renewal_s(self, session: SessionId, now: float) -> float:
        """Return the seconds since the last renewal, or 0 for an unknown session."""
        lease = self.leases.get(session)
        return 0.0 if lease is None else max(0.0, now - lease.renewed_at)

    def end_expired(self, now: float) -> list[SessionId]:
        """Stop renewals of expired leases and return their sessions.

        A lease is expired when its holder can no longer consider it valid. A returned
        session is never renewed again, because its closing may be in the log from now
        on. It is returned until ``on_session_closed`` is called.
        """
        limit_s = self.timing.term_s + self.timing.drift_margin_s
        over = [
            session
            for session, lease in self.leases.items()
            if now - lease.renewed_at >= limit_s
        ]
        for session in over:
            self.on_session_superseded(session)
        return over
