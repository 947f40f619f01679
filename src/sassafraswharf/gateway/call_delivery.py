"""Grants and releases holds by calls to the upstream."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.daemon.endless_task import run_endlessly
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.gateway.hold_client import UNKNOWN_OUTCOME_ERRORS
from sassafraswharf.gateway.key_holds import held_row


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.gateway.fleet_view import FleetView
    from sassafraswharf.gateway.heartbeat import Grant
    from sassafraswharf.gateway.heartbeat import Heartbeat
    from sassafraswharf.gateway.hold_client import HoldClient
    from sassafraswharf.gateway.hold_client import HoldReply
    from sassafraswharf.gateway.key_holds import PendingGrant
    from sassafraswharf.gateway.local_upstream import LocalUpstream
    from sassafraswharf.observability.decision_log import DecisionLog


RECONCILE_INTERVAL_S: Final = 0.1
GRANT_TIMEOUT_S: Final = 0.4
RENEWAL_THRESHOLD: Final = 0.7
"""Fraction of the hold left at which it is renewed, early enough for two renewals to be
lost."""
MIN_EXTENSION_S: Final = 0.3
"""A renewal that would extend a hold by less is skipped."""
RETRY_PAUSE_S: Final = 0.1
RELEASE_REPEAT_S: Final = 0.8
"""A release waits for running requests, so it is resent while earlier calls wait."""
MAX_GRANT_CALLS: Final = 8
"""Limit on concurrent grant calls."""
RENEWALS_PER_LOG_LINE: Final = 64
STATUS_OK: Final = 200
STATUS_NEWER_FENCE: Final = 409


class CallDelivery:
    """Reconciles the holds of the upstream with the fleet table by calls to it.

    Rows that the table assigns to the upstream are granted and renewed. Keys that it
    must give up are released; the response has the token for the next owner. Each
    row has at most one grant call in flight. A call without a response may still be
    executed, so its keys count as held until that hold would have ended.
    """

    def __init__(
        self,
        local: LocalUpstream,
        client: HoldClient,
        view: FleetView,
        lease_until: Callable[[], float],
        report_now: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Serve ``local``; ``report_now`` reports changes to the leader."""
        self.local = local
        self.holds = local.holds
        self.client = client
        self.view = view
        self.lease_until = lease_until
        self.report_now = report_now
        self.clock = clock
        self.log = log
        self.instance: Instance | None = None
        self.last_desired: list[GrantedRow] = []
        self.grant_tasks: dict[GrantedRow, asyncio.Task[None]] = {}
        self.release_tasks: dict[HeldRow, asyncio.Task[None]] = {}
        self.fenced_rows: set[HeldRow] = set()
        self.grant_semaphore = asyncio.Semaphore(MAX_GRANT_CALLS)
        self.outcomes: Counter[str] = Counter()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start following the fleet table."""
        self.task = asyncio.create_task(run_endlessly("grants", self.run))

    async def stop(self) -> None:
        """Stop all calls; holds expire on their own."""
        tasks = [*self.grant_tasks.values(), *self.release_tasks.values()]
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.client.close()

    async def answer(self, _beat: Heartbeat, _arrived_at: float) -> Grant | None:
        """Grant nothing in the response; a heartbeat only triggers a reconciliation."""
        self.reconcile()
        return None

    def refused_rows(self) -> tuple[HeldRow, ...]:
        """Return rows of the table that the upstream rejected for a newer fence."""
        return tuple(self.fenced_rows)

    async def run(self) -> None:
        """Reconcile the upstream with the fleet table until cancelled."""
        while True:
            self.reconcile()
            await self.view.changed.wait(RECONCILE_INTERVAL_S)

    def reconcile(self) -> None:
        """Start the grant and release calls that are due."""
        self.follow_incarnation()
        instance = self.instance
        if instance is None:
            return
        desired = self.desired_rows(instance)
        if self.last_desired != desired:
            # Also without a new table, since releases may have become possible.
            self.last_desired = desired
            self.holds.route_only(desired)
            self.fenced_rows &= {held_row(row) for row in desired}
        now = self.clock.now()
        for row in desired:
            if self.is_due(row, now):
                self.grant_tasks[row] = asyncio.create_task(self.grant(instance, row))
        for released in self.rows_to_release(instance, desired):
            if released not in self.release_tasks:
                task = asyncio.create_task(self.release(instance, released))
                self.release_tasks[released] = task

    def follow_incarnation(self) -> None:
        """Clear all grants if the upstream has a new incarnation."""
        beat = self.local.beat
        present = beat.instance if beat is not None else None
        if present == self.instance:
            return
        if self.instance is not None:
            for task in [*self.grant_tasks.values(), *self.release_tasks.values()]:
                task.cancel()
            self.grant_tasks, self.release_tasks = {}, {}
            self.holds.on_upstream_end()
            self.fenced_rows.clear()
        self.instance = present
        self.last_desired = []

    def desired_rows(self, instance: Instance) -> list[GrantedRow]:
        """Return the rows that the upstream should hold now.

        Grant calls of an earlier router process without a response may still be
        executed. Until their holds must have ended, moving keys are not released.
        """
        may_release = self.holds.earlier_holds_ended(self.clock.now())
        return [
            GrantedRow(row.first, row.last, row.fence, row.handover_token)
            for row in self.view.fleet.rows_of(instance)
            if not (row.is_moving and may_release)
        ]

    def is_due(self, row: GrantedRow, now: float) -> bool:
        """Return whether a row should be granted or renewed now."""
        if row in self.grant_tasks or held_row(row) in self.fenced_rows:
            return False
        until = self.holds.routable_until.get(row, now)
        if until - now > RENEWAL_THRESHOLD * self.holds.hold_s:
            return False
        longest = min(now + self.holds.hold_s, self.lease_until() - GRANT_TIMEOUT_S)
        return longest - until > MIN_EXTENSION_S

    def rows_to_release(
        self, instance: Instance, desired: list[GrantedRow]
    ) -> list[HeldRow]:
        """Return the keys that the upstream must release."""
        moving = [
            held_row(row) for row in self.view.fleet.rows_of(instance) if row.is_moving
        ]
        held = [
            rest
            for row in self.holds.granted_until
            for rest in subtract_rows(row, [*desired, *moving])
        ]
        if not self.holds.earlier_holds_ended(self.clock.now()):
            return held
        return [*held, *(row for row in moving if not self.holds.has_released(row))]

    async def grant(self, instance: Instance, row: GrantedRow) -> None:
        """Grant or renew a row once."""
        pending: list[PendingGrant] = []

        def prepare() -> tuple[GrantedRow, float] | None:
            # The table may have changed while the connection was being opened.
            if self.instance != instance or row not in self.desired_rows(instance):
                return None
            now = self.clock.now()
            left_s = until - now
            made = self.holds.start_grant(row, now, self.lease_until(), left_s)
            if made is None:
                return None
            pending.append(made)
            return made.row, made.hold_s

        try:
            async with self.grant_semaphore:
                until = self.clock.now() + GRANT_TIMEOUT_S
                async with asyncio.timeout(GRANT_TIMEOUT_S):
                    reply = await self.client.grant(instance.name, prepare)
            if reply is None or not self.on_grant_reply(instance, pending[0], reply):
                await asyncio.sleep(RETRY_PAUSE_S)
        except UNKNOWN_OUTCOME_ERRORS as error:
            self.outcomes["unanswered"] += 1
            self.log.record(
                "grant_unanswered",
                upstream=instance.name,
                first=row.first,
                last=row.last,
                fence=row.fence,
                sent=bool(pending),
                why=str(error) or type(error).__name__,
            )
            await asyncio.sleep(RETRY_PAUSE_S)
        finally:
            if self.grant_tasks.get(row) is asyncio.current_task():
                del self.grant_tasks[row]

    def on_grant_reply(
        self, instance: Instance, pending: PendingGrant, reply: HoldReply
    ) -> bool:
        """Apply the response to a grant; return whether the keys are held."""
        row = pending.row
        if reply.status == STATUS_OK:
            is_renewal = row in self.holds.routable_until
            kind = "renewed" if is_renewal else "granted"
            self.outcomes[kind] += 1
            self.holds.on_grant_accepted(pending, self.clock.now())
            # Keys of the row may have started to move since the call was sent.
            self.holds.route_only(self.desired_rows(instance))
            if not is_renewal or self.outcomes[kind] % RENEWALS_PER_LOG_LINE == 1:
                self.log.record(
                    kind,
                    first=row.first,
                    last=row.last,
                    fence=row.fence,
                    warm=bool(row.handover),
                    hold_ms=int(pending.hold_s * 1000),
                )
            return True
        self.holds.on_grant_refused(pending)
        self.outcomes["refused"] += 1
        if reply.status == STATUS_NEWER_FENCE:
            self.fenced_rows.add(held_row(row))
            self.report_now()
        self.log.record(
            "grant_refused",
            first=row.first,
            last=row.last,
            fence=row.fence,
            status=reply.status,
        )
        return False

    async def release(self, instance: Instance, row: HeldRow) -> None:
        """Release keys; the call is repeated until one succeeds."""
        began = self.clock.now()
        calls: set[asyncio.Task[HoldReply]] = set()
        try:
            while True:
                calls.add(asyncio.create_task(self.client.release(instance.name, row)))
                done, calls = await asyncio.wait(
                    calls,
                    timeout=RELEASE_REPEAT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                reply = first_success(done)
                if reply is not None:
                    break
                if done:
                    await asyncio.sleep(RETRY_PAUSE_S)
            self.holds.on_released(row, reply.handover, self.clock.now())
            self.outcomes["released"] += 1
            self.log.record(
                "released",
                upstream=instance.name,
                first=row.first,
                last=row.last,
                fence=row.fence,
                warm=bool(reply.handover),
                after_ms=int((self.clock.now() - began) * 1000),
            )
            self.report_now()
        finally:
            for call in calls:
                call.cancel()
            if self.release_tasks.get(row) is asyncio.current_task():
                del self.release_tasks[row]


def first_success(calls: set[asyncio.Task[HoldReply]]) -> HoldReply | None:
    """Return the response of a release that succeeded, if there is one."""
    for call in calls:
        error = call.exception()
        if error is not None and not isinstance(error, UNKNOWN_OUTCOME_ERRORS):
            raise error
        if error is None and call.result().status == STATUS_OK:
            return call.result()
    return None


def subtract_rows(row: HeldRow, taken: list[HeldRow | GrantedRow]) -> list[HeldRow]:
    """Return the parts of a row whose keys are in none of the ``taken`` rows.

    >>> from sassafraswharf.fleet.sync import HeldRow
    >>> subtract_rows(HeldRow(0, 99, 5), [HeldRow(10, 19, 7)])
    [HeldRow(first=0, last=9, fence=5), HeldRow(first=20, last=99, fence=5)]
    """
    parts = []
    first = row.first
    for other in sorted(taken, key=lambda one: one.first):
        if other.last < first or other.first > row.last:
            continue
        if other.first > first:
            parts.append(row._replace(first=first, last=other.first - 1))
        first = max(first, other.last + 1)
    if first <= row.last:
        parts.append(row._replace(first=first))
    return parts
