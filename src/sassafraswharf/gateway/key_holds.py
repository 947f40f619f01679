"""Time-limited holds on keys that a router grants to its local upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.gateway.heartbeat import Grant
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.router.change_signal import ChangeSignal


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import KeyRow
    from sassafraswharf.gateway.heartbeat import Heartbeat


CLOCK_DRIFT_FACTOR: Final = 0.96
"""The clock of an upstream may run 2% slow, and that of a router 2% fast relative to
the control group."""
MIN_HOLD_S: Final = 0.1
RELEASE_RETENTION_S: Final = 10.0


class PendingGrant(NamedTuple):
    """A grant call whose outcome is unknown; it grants keys for ``hold_s`` on arrival.

    It arrives by ``arrives_by`` or never. The upstream may execute it later than
    that, without a response; the hold still ends by ``until``.
    """

    number: int
    row: GrantedRow
    hold_s: float
    sent_at: float
    arrives_by: float

    @property
    def until(self) -> float:
        """Return the time by which the hold has ended, however late the call is."""
        return self.arrives_by + self.hold_s / CLOCK_DRIFT_FACTOR

    @property
    def held_row(self) -> HeldRow:
        """Return the row in the form of a report."""
        return held_row(self.row)


class KeyHolds:
    """Grants holds to one upstream and tracks what it may still hold.

    Holds are granted in the response to a heartbeat (``grant``) or by a call
    (``start_grant``). A hold starts when the heartbeat is sent or the call arrives,
    and never lasts longer than the lease of the router. So no hold outlives the
    lease, even if messages are late or lost or a process is suspended. ``now`` is
    always the time of the boot-time clock, which advances while the host is
    suspended.
    """

    def __init__(self, started_at: float, lease_s: float, hold_s: float) -> None:
        """Start without knowledge of the holds that an earlier process granted.

        ``lease_s`` is the longest lease of a router, ``hold_s`` the longest hold.
        """
        self.earlier_holds_end_at = started_at + lease_s / CLOCK_DRIFT_FACTOR
        self.hold_s = hold_s
        self.granted_until: dict[HeldRow, float] = {}
        self.pending_grants: dict[int, PendingGrant] = {}
        self.pending_grant_count = 0
        self.routable_until: dict[GrantedRow, float] = {}
        self.changed = ChangeSignal()
        self.reported: tuple[HeldRow, ...] = ()
        self.reported_until = 0.0
        self.released: dict[ReleasedRow, float] = {}

    def on_heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether it reports new releases."""
        self.reported = beat.held
        self.reported_until = now + self.hold_s / CLOCK_DRIFT_FACTOR
        has_new_release = False
        for row in beat.released:
            if row not in self.released:
                has_new_release = True
            self.released[row] = now
            self._remove_granted(row.first, row.last)
        self._remove_expired(now)
        return has_new_release

    def grant(
        self, rows: Iterable[KeyRow], arrived_at: float, lease_until: float
    ) -> Grant | None:
        """Return the rows that the upstream may hold, ``None`` without a valid lease.

        ``arrived_at`` is the arrival time of the heartbeat.
        """
        hold_s = min(self.hold_s, lease_until - arrived_at) * CLOCK_DRIFT_FACTOR
        if hold_s < MIN_HOLD_S:
            return None
        granted = tuple(
            GrantedRow(row.first, row.last, row.fence, row.handover_token)
            for row in rows
            if not row.is_moving
        )
        until = arrived_at + hold_s / CLOCK_DRIFT_FACTOR
        self.routable_until = dict.fromkeys(granted, arrived_at + hold_s)
        self.changed.notify()
        for row in granted:
            self.granted_until[held_row(row)] = until
            self._remove_release(row.first, row.last)
        return Grant(granted, hold_s)

    def start_grant(
        self, row: GrantedRow, now: float, lease_until: float, timeout_s: float
    ) -> PendingGrant | None:
        """Record a grant call about to be sent; ``None`` if the lease ends too soon.

        The call is sent at ``now`` and times out after ``timeout_s``. The keys
        count as held from ``now`` until the outcome of the call is known.
        """
        arrives_by = now + timeout_s
        hold_s = min(self.hold_s, lease_until - arrives_by) * CLOCK_DRIFT_FACTOR
        if hold_s < MIN_HOLD_S:
            return None
        self.pending_grant_count += 1
        pending = PendingGrant(self.pending_grant_count, row, hold_s, now, arrives_by)
        self.pending_grants[pending.number] = pending
        return pending

    def on_grant_accepted(self, pending: PendingGrant, now: float) -> None:
        """Record that the upstream accepted a grant."""
        if self.pending_grants.pop(pending.number, None) is None:
            return
        row = pending.row
        overlapping = [
            until
            for held, until in self.granted_until.items()
            if held.first <= row.last and held.last >= row.first
        ]
        self._remove_granted(row.first, row.last)
        until = now + pending.hold_s / CLOCK_DRIFT_FACTOR
        # A renewal that is shorter than the previous hold may not have shortened it.
        self.granted_until[pending.held_row] = max(until, *overlapping, 0.0)
        self._remove_release(row.first, row.last)
        self._remove_expired(now)
        self.routable_until[row] = pending.sent_at + pending.hold_s
        self.changed.notify()

    def on_grant_refused(self, pending: PendingGrant) -> None:
        """Record that the upstream rejected a grant."""
        self.pending_grants.pop(pending.number, None)

    def on_released(self, row: HeldRow, handover: str, now: float) -> None:
        """Record that the upstream has released keys.

        Grant calls without a response may be executed after the release, so their
        keys still count as held.
        """
        self.released[ReleasedRow(row.first, row.last, handover)] = now
        self._remove_granted(row.first, row.last)
        self._remove_expired(now)

    def route_only(self, wanted: Iterable[GrantedRow]) -> None:
        """Stop routing requests for keys outside ``wanted``."""
        kept: dict[GrantedRow, float] = {}
        rows = tuple(wanted)
        for held, until in self.routable_until.items():
            for row in rows:
                first, last = max(held.first, row.first), min(held.last, row.last)
                if first <= last:
                    kept[held._replace(first=first, last=last)] = until
        self.routable_until = kept

    def on_upstream_end(self) -> None:
        """Clear all holds because the process of the upstream has ended."""
        self.granted_until.clear()
        self.pending_grants.clear()
        self.routable_until.clear()
        self.released.clear()
        self.reported_until = 0.0

    def held(self, now: float) -> tuple[HeldRow, ...]:
        """Return all rows that the upstream holds or may still hold."""
        rows = {row for row, until in self.granted_until.items() if until > now}
        rows.update(
            one.held_row for one in self.pending_grants.values() if one.until > now
        )
        if self.reported_until > now:
            rows.update(self.reported)
        return tuple(rows)

    def holds_key(self, key: int, now: float) -> bool:
        """Return whether requests for a key may be sent to the upstream.

        Keys that the last grant omits are being released. No request for them may
        be sent, although the upstream may hold them a little longer.
        """
        return any(
            row.first <= key <= row.last and now < until
            for row, until in self.routable_until.items()
        )

    def earlier_holds_ended(self, now: float) -> bool:
        """Return whether all holds granted by an earlier process have expired."""
        return now >= self.earlier_holds_end_at

    def released_rows(self) -> tuple[ReleasedRow, ...]:
        """Return the releases that the leader may not have received yet."""
        return tuple(self.released)

    def has_released(self, row: HeldRow) -> bool:
        """Return whether the upstream has released all keys of a row."""
        return any(
            one.first <= row.first and row.last <= one.last for one in self.released
        )

    def _remove_granted(self, first: int, last: int) -> None:
        """Remove a range of keys from the granted rows."""
        for row, until in list(self.granted_until.items()):
            if row.last < first or row.first > last:
                continue
            del self.granted_until[row]
            if row.first < first:
                self.granted_until[row._replace(last=first - 1)] = until
            if row.last > last:
                self.granted_until[row._replace(first=last + 1)] = until

    def _remove_release(self, first: int, last: int) -> None:
        for row in list(self.released):
            if row.first <= last and row.last >= first:
                del self.released[row]

    def _remove_expired(self, now: float) -> None:
        self.granted_until = {
            row: one for row, one in self.granted_until.items() if one > now
        }
        self.pending_grants = {
            number: one
            for number, one in self.pending_grants.items()
            if one.until > now
        }
        limit = now - RELEASE_RETENTION_S
        self.released = {row: at for row, at in self.released.items() if at > limit}


def held_row(row: GrantedRow | KeyRow) -> HeldRow:
    """Return the key range and fencing token of a row."""
    return HeldRow(row.first, row.last, row.fence)


def is_newer(beat: Heartbeat, known: Heartbeat | None) -> bool:
    """Return whether a heartbeat supersedes the last known one of the upstream.

    A later incarnation supersedes an earlier one. Within an incarnation the sequence
    number decides, because a heartbeat may arrive seconds late.
    """
    if known is None:
        return True
    if beat.instance == known.instance:
        return beat.sequence > known.sequence
    return _incarnation_order(beat.instance) > _incarnation_order(known.instance)


def _incarnation_order(instance: Instance) -> tuple[int, str]:
    return (instance.started_ms, instance.name)
