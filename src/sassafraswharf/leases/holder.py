"""The lease of a host session, as held and renewed by the router of the host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.codes import ResultCode
from sassafraswharf.identifiers import CellId
from sassafraswharf.identifiers import SessionId
from sassafraswharf.leases.messages import LeaseRenewal


if TYPE_CHECKING:
    from sassafraswharf.identifiers import HostId
    from sassafraswharf.identifiers import ReplicaId
    from sassafraswharf.leases.messages import LeaseAck
    from sassafraswharf.leases.messages import LeaseRefusal
    from sassafraswharf.leases.messages import LeaseTiming


NO_SESSION = SessionId(0)
NEVER = float("-inf")
RETRY_DELAY_S = 0.05


class LeaseHolder:
    """Tracks whether the lease of this host is valid by the host's own clock.

    Each lease term is measured from when the renewal was sent, so it ends on the
    holder before it ends on the grantor. ``cell``, ``configuration_revision``,
    ``table_version`` and ``load`` are sent with each renewal and are set by
    the owner of the holder. All times are seconds on the boot-time clock.
    """

    def __init__(self, host: HostId, timing: LeaseTiming) -> None:
        self.host = host
        self.cell = CellId("")
        self.timing = timing
        self.session = NO_SESSION
        self.expires_at = NEVER
        self.sequence = 0
        self.leader_term = 0
        self.leader_hint: ReplicaId | None = None
        self.configuration_revision = 0
        self.table_version = 0
        self.load = b""
        self._last_sent_at = NEVER
        self._sent_at: dict[int, float] = {}

    def open(self, session: SessionId, sent_at: float) -> None:
        """Start using a session whose opening was requested at ``sent_at``.

        The lease starts with the first acknowledged renewal and not here: a
        repeated request to open is answered with the session of the first
        one, and the grantor has counted its term from then.
        """
        self.session = session
        self.expires_at = sent_at
        self._last_sent_at = NEVER
        self._sent_at.clear()

    def close(self) -> None:
        """End the session; from now on the lease is invalid."""
        self.session = NO_SESSION
        self.expires_at = NEVER
        self._sent_at.clear()

    def next_renewal(self, now: float) -> LeaseRenewal | None:
        """Return the renewal to send now, or None if none is due."""
        if self.session == NO_SESSION:
            return None
        if now < self._last_sent_at + self.timing.renew_every_s:
            return None
        self._last_sent_at = now
        self.sequence += 1
        self._drop_sent_before(now - self.timing.term_s)
        self._sent_at[self.sequence] = now
        return LeaseRenewal(
            self.host,
            self.cell,
            self.session,
            self.sequence,
            self.configuration_revision,
            self.table_version,
            self.load,
        )

    def on_ack(self, ack: LeaseAck, now: float) -> None:
        """Extend the lease by one term from when the renewal was sent."""
        if ack.session != self.session:
            return
        sent_at = self._sent_at.pop(ack.sequence, None)
        if sent_at is None or now < sent_at:
            return
        self.leader_term = max(self.leader_term, ack.leader_term)
        term_s = min(ack.term_s, self.timing.term_s)
        self.expires_at = max(self.expires_at, sent_at + term_s)

    def on_refusal(self, refusal: LeaseRefusal, now: float) -> None:
        """End the session if the cell has closed it; store the leader hint."""
        if refusal.session != self.session:
            return
        if refusal.leader_hint is not None:
            self.leader_hint = refusal.leader_hint
        if refusal.code == ResultCode.SESSION_CLOSED:
            self.close()
            return
        # Another replica may be the leader. The delay keeps the hosts of a cell
        # from flooding its replicas with retries during an election.
        due_at = now + RETRY_DELAY_S
        self._last_sent_at = min(self._last_sent_at, due_at - self.timing.renew_every_s)

    def is_valid(self, now: float) -> bool:
        """Return whether the host may serve its slots at ``now``."""
        return self.session != NO_SESSION and now < self.expires_at

    def _drop_sent_before(self, limit_at: float) -> None:
        old = [key for key, sent_at in self._sent_at.items() if sent_at < limit_at]
        for key in old:
            del self._sent_at[key]
