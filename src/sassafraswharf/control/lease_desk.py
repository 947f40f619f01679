"""The cell leader's handling of lease renewals."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.leases.grantor import LeaseGrantor
from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseRefusal
from sassafraswharf.membership.values import SessionState
from sassafraswharf.placement.load_view import LoadView
from sassafraswharf.transport import messages
from sassafraswharf.transport.envelope import MessageKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.cell.state import CellState
    from sassafraswharf.clock import Clock
    from sassafraswharf.consensus.group_task import GroupTask
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.leases.messages import LeaseRenewal
    from sassafraswharf.leases.messages import LeaseTiming
    from sassafraswharf.transport.datagrams import Address
    from sassafraswharf.transport.datagrams import DatagramEndpoint


class HostReport(NamedTuple):
    """What a host last said of itself, and where its datagrams come from."""

    configuration_revision: int
    table_version: int
    heard_at: float
    address: Address


class LeaseDesk:
    """Answers renewals while this replica is the current leader of the cell.

    The grantor is volatile: each term of leadership starts a new one, which
    treats all sessions as renewed at its start.
    """

    def __init__(
        self,
        group: GroupTask,
        state: CellState,
        timing: LeaseTiming,
        clock: Clock,
        newest_revision: Callable[[], int],
    ) -> None:
        """Start without leadership."""
        self.group = group
        self.state = state
        self.timing = timing
        self.clock = clock
        self.newest_revision = newest_revision
        self.grantor: LeaseGrantor | None = None
        self.loads = LoadView()
        self.reports: dict[SessionId, HostReport] = {}

    def on_role_change(self, *, is_leader: bool, term: int) -> None:
        """Start a new grantor, or drop the old one."""
        self.reports.clear()
        self.loads = LoadView()
        if not is_leader:
            self.grantor = None
            return
        by_state = self.sessions_by_state()
        self.grantor = LeaseGrantor(
            self.timing,
            self.clock.now(),
            by_state[SessionState.OPEN],
            by_state[SessionState.SUPERSEDED],
            term,
        )

    def sessions_by_state(self) -> dict[SessionState, list[SessionId]]:
        """Return the sessions of the cell by their state."""
        found: dict[SessionState, list[SessionId]] = {key: [] for key in SessionState}
        for session in self.state.sessions.values():
            found[session.state].append(session.session)
        return found

    def follow_state(self) -> None:
        """Take over sessions that were opened, superseded or closed."""
        if self.grantor is None:
            return
        now = self.clock.now()
        by_state = self.sessions_by_state()
        for session in by_state[SessionState.OPEN]:
            self.grantor.on_session_opened(session, now)
        for session in by_state[SessionState.SUPERSEDED]:
            self.grantor.on_session_opened(session, now)
            self.grantor.on_session_superseded(session)
        live = {*by_state[SessionState.OPEN], *by_state[SessionState.SUPERSEDED]}
        for session in set(self.grantor.leases) - live:
            self.grantor.on_session_closed(session)
            self.reports.pop(session, None)
            self.loads.forget(session)

    def expired(self) -> dict[SessionId, float]:
        """Return the sessions whose leases have ended, and since when they are silent.

        The values are seconds since the last renewal.
        """
        if self.grantor is None:
            return {}
        self.follow_state()
        now = self.clock.now()
        ended = self.grantor.end_expired(now)
        return {
            session: self.grantor.since_renewal_s(session, now) for session in ended
        }

    def answer(
        self,
        renewal: LeaseRenewal,
        sender: str,
        address: Address,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Answer a renewal that came from ``address``."""
        answer = self.decide(renewal)
        kind = MessageKind.LEASE_REFUSAL
        if isinstance(answer, LeaseAck):
            kind = MessageKind.LEASE_ACK
            self.take_report(renewal, address)
        endpoint.send(address, sender, kind, messages.encode(answer))

    def decide(self, renewal: LeaseRenewal) -> LeaseAck | LeaseRefusal:
        """Extend the lease, or refuse it as another replica may be leader."""
        grantor = self.grantor
        if grantor is None or not self.group.is_current_leader():
            return LeaseRefusal(
                renewal.session,
                renewal.sequence,
                ResultCode.NOT_LEADER,
                self.group.leader,
            )
        session = self.state.sessions.get(renewal.session)
        if session is not None and session.state == SessionState.OPEN:
            grantor.on_session_opened(renewal.session, self.clock.now())
        grantor.table_version = self.state.version
        grantor.configuration_revision = self.newest_revision()
        return grantor.on_renewal(renewal, self.clock.now())

    def take_report(self, renewal: LeaseRenewal, address: Address) -> None:
        """Keep what the host says of itself."""
        now = self.clock.now()
        self.loads.update(renewal.session, renewal.load, now)
        self.reports[renewal.session] = HostReport(
            renewal.configuration_revision, renewal.table_version, now, address
        )

    def notify_hosts(self, cell: str, endpoint: DatagramEndpoint) -> None:
        """Tell all hosts that the table has changed; a lost hint costs nothing."""
        body = messages.encode(messages.TableChanged(cell, self.state.version))
        for session, report in self.reports.items():
            host = self.state.sessions[session].host
            endpoint.send(report.address, host, MessageKind.TABLE_CHANGED, body)

    def lease_remaining_s(self, session: SessionId) -> float | None:
        """Return how long a lease lasts at least, ``None`` if unknown."""
        if self.grantor is None or session not in self.grantor.leases:
            return None
        renewed_at = self.grantor.leases[session].renewed_at
        return max(0.0, renewed_at + self.timing.term_s - self.clock.now())
