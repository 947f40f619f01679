"""Reconciles local upstreams with the view: announcements, grants and releases."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final

import msgspec

from absl import logging

from sassafraswharf.cell.commands import AnnounceUpstream
from sassafraswharf.cell.commands import DrainUpstream
from sassafraswharf.cell.commands import SlotsReleased
from sassafraswharf.cell.commands import UpstreamLost
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.leases.holder import NO_SESSION
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.slot_table import ranges_of
from sassafraswharf.requests.outcome import Exchange
from sassafraswharf.router.freeze_detector import MAX_RECOVERIES
from sassafraswharf.router.freeze_detector import FreezeDetector
from sassafraswharf.router.permit import NO_SLOT
from sassafraswharf.router.upstream_runner import POSSIBLE_CRASH_EXCHANGES
from sassafraswharf.router.upstream_runner import UpstreamRunner
from sassafraswharf.router.upstream_states import grant_runs
from sassafraswharf.router.upstream_states import is_announced
from sassafraswharf.router.upstream_states import is_drain_pending
from sassafraswharf.router.upstream_states import is_same_process


if TYPE_CHECKING:
    from sassafraswharf.cell.commands import Command
    from sassafraswharf.clock import Clock
    from sassafraswharf.membership.values import Upstream
    from sassafraswharf.router.announcement import Announcement
    from sassafraswharf.router.control_link import ControlLink
    from sassafraswharf.router.journal_slots import JournalSlots
    from sassafraswharf.router.local_service import LocalService
    from sassafraswharf.router.view import RouterView

    GrantRuns = list[dict[str, object]]


RECONCILE_INTERVAL_S: Final = 0.1
GRANT_TIMEOUT_S: Final = 1.0
GRANT_REFRESH_INTERVAL_S: Final = 2.0
CHECKED_GRANT_REFRESH_INTERVAL_S: Final = 0.25
"""As frequent as lease renewals, since a grant is valid until the lease expires."""
GRANT_RETRY_DELAY_S: Final = 0.1
VIEW_TIMEOUT_S: Final = 1.0
RESERVED_NESTING_LEVELS: Final = 2
"""Slots reserved for nested calls where services call each other in a cycle.

Each level takes a slot away from external callers: with 8 levels, an upstream with
10 slots would run only 2 of their requests at a time. Deeper calls run if a slot is
free and are refused otherwise, so they can't deadlock either.
"""
POSSIBLE_EXIT_EXCHANGES: Final = frozenset(
    {Exchange.CONNECTION_REFUSED, *POSSIBLE_CRASH_EXCHANGES}
)
"""Results of an exchange after which the upstream process may have exited."""
DRAINABLE_STATES: Final = frozenset({UpstreamState.ANNOUNCED, UpstreamState.ADMITTED})
SERVED_STATES: Final = frozenset({UpstreamState.ADMITTED, UpstreamState.DRAINING})


class LocalUpstreams:
    """Reconciles runners, grants and slot releases with the view.

    One task reconciles after every change of the view and ten times a second, so
    that a slot is released soon after its last request in flight has ended.
    """

    def __init__(
        self,
        view: RouterView,
        control_link: ControlLink,
        service: LocalService,
        clock: Clock,
    ) -> None:
        """Start without upstreams."""
        self.view = view
        self.control_link = control_link
        self.service = service
        self.clock = clock
        self.announcements: dict[UpstreamId, Announcement] = {}
        self.sent_grants: dict[UpstreamId, tuple[int, float]] = {}
        self.granted_runs: dict[UpstreamId, tuple[tuple[int, int], GrantRuns]] = {}
        self.drain_sent: set[UpstreamId] = set()
        self.background_tasks: dict[str, asyncio.Task[None]] = {}
        self.grant_tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self.journal_slots: JournalSlots | None = None
        self.freeze_detector = FreezeDetector(
            service.runners, service.crash_detector, clock
        )
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the reconciliation task and the freeze detector."""
        self.task = asyncio.create_task(self.run())
        self.freeze_detector.start()

    async def stop(self) -> None:
        """Stop all tasks and close the connections to the upstreams."""
        tasks = [*self.background_tasks.values(), *self.grant_tasks.values()]
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.freeze_detector.stop()
        for runner in self.service.runners.values():
            await runner.close()

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            try:
                await self.reconcile()
            except Exception:
                logging.exception("reconciling the local upstreams failed")
            await self.view.changed.wait(RECONCILE_INTERVAL_S)

    def announce(self, announcement: Announcement) -> None:
        """Handle the announcement of a local upstream."""
        upstream = UpstreamId(announcement["upstream"])
        self.announcements[upstream] = announcement
        self.freeze_detector.on_announcement(upstream, announcement["incarnation"])
        runner = self.service.runners.get(upstream)
        if runner is not None:
            incarnation = self.committed_incarnation(upstream, announcement)
            if incarnation > runner.upstream.incarnation:
                self.service.crash_detector.on_restart(runner)
        self.apply_announcement(upstream, announcement)

    async def reconcile(self) -> None:
        """Bring runners, grants and releases in line with the view once."""
        if self.journal_slots is not None:
            self.journal_slots.sync()
        wanted = self.desired_upstreams()
        for name in set(self.service.runners) - set(wanted):
            await self.remove_runner(name)
        for name, upstream in wanted.items():
            runner = self.service.runners.get(name)
            if runner is not None and not is_same_process(runner.upstream, upstream):
                await self.remove_runner(name)
                runner = None
            if runner is None:
                self.service.runners[name] = self.create_runner(upstream)
            self.refresh_grant(upstream)
            self.release_idle_slots(upstream)
        for name, announcement in self.announcements.items():
            self.apply_announcement(name, announcement)
        for runner in self.service.runners.values():
            self.report_lost(runner)

    def desired_upstreams(self) -> dict[UpstreamId, Upstream]:
        """Return the upstreams that this session should serve."""
        session = self.control_link.holder.session
        return {
            upstream.upstream: upstream
            for upstream in self.view.upstreams.values()
            if session != NO_SESSION
            and upstream.session == session
            and upstream.state in SERVED_STATES
        }

    def create_runner(self, upstream: Upstream) -> UpstreamRunner:
        """Return a runner with empty queues for an upstream process."""
        in_cycle = upstream.service in self.view.cyclic_services
        return UpstreamRunner(
            upstream,
            RESERVED_NESTING_LEVELS if in_cycle else 0,
            self.clock,
            self.service.ids,
            self.service.crash_detector,
        )

    async def remove_runner(self, name: UpstreamId) -> None:
        """Remove a runner; its waiting requests are refused as not run."""
        runner = self.service.runners.pop(name)
        self.sent_grants.pop(name, None)
        self.granted_runs.pop(name, None)
        self.service.granted_versions.pop(name, None)
        self.drain_sent.discard(name)
        runner.reject_waiting()
        self.background_tasks[f"close {name}"] = asyncio.create_task(
            close_when_idle(runner)
        )

    def apply_announcement(self, name: UpstreamId, announcement: Announcement) -> None:
        """Propose the command for an announcement unless the view already shows it."""
        if announcement.get("leaving", False):
            self.drain_leaving(name, announcement)
        else:
            self.propose_announcement(name, announcement)

    def drain_leaving(self, name: UpstreamId, announcement: Announcement) -> None:
        """Stop new work for a leaving upstream and propose its drain.

        New work stops before the drain is committed, because the process may wait
        only for a limited time.
        """
        incarnation = self.committed_incarnation(name, announcement)
        runner = self.service.runners.get(name)
        if (
            runner is not None
            and not runner.leaving
            and runner.upstream.incarnation == incarnation
        ):
            runner.leaving = True
            runner.reject_waiting()
        known = self.view.upstreams.get(name)
        if (
            known is not None
            and known.incarnation == incarnation
            and known.state in DRAINABLE_STATES
        ):
            self.propose(f"drain {name}", DrainUpstream(name, name))

    def has_left(self, name: UpstreamId) -> bool:
        """Return whether an upstream has no slots and no request in flight here."""
        known = self.view.upstreams.get(name)
        closing = self.background_tasks.get(f"close {name}")
        is_served = known is not None and known.state in SERVED_STATES
        is_busy = closing is not None and not closing.done()
        return not is_served and not is_busy and name not in self.service.runners

    def propose_announcement(
        self, name: UpstreamId, announcement: Announcement
    ) -> None:
        """Propose an announcement that the cell has not committed yet."""
        session = self.control_link.holder.session
        known = self.view.upstreams.get(name)
        if session == NO_SESSION or announcement["service"] not in self.view.services:
            return
        command = AnnounceUpstream(
            name,
            self.service.host,
            session,
            ServiceName(announcement["service"]),
            announcement["address"],
            announcement["slots"],
            announcement["connections"],
            announcement["checks_grants"],
            self.committed_incarnation(name, announcement),
            announcement["speed"],
        )
        if known is not None and is_announced(known, command):
            return
        if known is not None and is_drain_pending(known, command):
            return
        self.propose(f"announce {name}", command)

    def committed_incarnation(
        self, name: UpstreamId, announcement: Announcement
    ) -> int:
        """Return the incarnation that is committed in the cell.

        It also encodes how often this router has declared the process unresponsive
        and received an announcement from it again, because the cell does not accept
        an incarnation again after it was lost.
        """
        recoveries = self.freeze_detector.recoveries(name, announcement["incarnation"])
        return announcement["incarnation"] * (MAX_RECOVERIES + 1) + recoveries

    def propose(self, name: str, command: Command) -> None:
        """Commit a command in the background, at most one at a time per name."""
        running = self.background_tasks.get(name)
        if running is None or running.done():
            self.background_tasks[name] = asyncio.create_task(
                self.run_proposal(command)
            )

    async def run_proposal(self, command: Command) -> None:
        """Commit a command and wait until the view shows it."""
        await self.control_link.commit(command)
        await self.wait_for_version(self.control_link.newest_version)

    async def wait_for_version(self, version: int) -> None:
        """Wait until the view includes a committed command.

        Until then, reconciliation would propose the same command again.
        """
        give_up_at = self.clock.now() + VIEW_TIMEOUT_S
        while self.view.version < version and self.clock.now() < give_up_at:
            await self.view.changed.wait(give_up_at - self.clock.now())

    def refresh_grant(self, upstream: Upstream) -> None:
        """Send the grant if the table has changed or the refresh interval is over."""
        version, sent_at = self.sent_grants.get(upstream.upstream, (-1, 0.0))
        refresh_s = (
            CHECKED_GRANT_REFRESH_INTERVAL_S
            if upstream.checks_grants
            else GRANT_REFRESH_INTERVAL_S
        )
        is_fresh = self.clock.now() - sent_at < refresh_s
        if version == self.view.version and is_fresh:
            return
        running = self.grant_tasks.get(upstream.upstream)
        if running is None or running.done():
            task = asyncio.create_task(self.send_grant(upstream))
            self.grant_tasks[upstream.upstream] = task

    async def send_grant(self, upstream: Upstream) -> None:
        """Send the slots that the upstream owns now, and a drain request if due."""
        runner = self.service.runners.get(upstream.upstream)
        if runner is None:
            return
        version = self.view.version
        session = self.control_link.holder.session
        body = {
            "service": upstream.service,
            "upstream": upstream.upstream,
            "session": session,
            "table_version": version,
            "valid_for_s": max(
                0.0, self.control_link.holder.expires_at - self.clock.now()
            ),
            "runs": self.grant_runs_of(upstream, version, session),
        }
        answer = await runner.peer.send(
            "POST",
            "/-/grant",
            {"Content-Type": "application/json"},
            msgspec.json.encode(body),
            GRANT_TIMEOUT_S,
            65_536,
        )
        if answer.status != 200:
            if answer.exchange in POSSIBLE_EXIT_EXCHANGES and not runner.lost:
                # No request is sent before the grant has arrived, so none would
                # detect that the process has exited.
                self.service.crash_detector.start_probe(runner)
            await asyncio.sleep(GRANT_RETRY_DELAY_S)
            return
        self.sent_grants[upstream.upstream] = (version, self.clock.now())
        if self.service.granted_versions.get(upstream.upstream) != version:
            self.service.granted_versions[upstream.upstream] = version
            self.view.changed.notify()
        if upstream.state == UpstreamState.DRAINING:
            await self.send_drain(runner)
        # A slow health endpoint must not delay the next grant.
        name = f"warm {upstream.upstream}"
        if name not in self.background_tasks or self.background_tasks[name].done():
            self.background_tasks[name] = asyncio.create_task(runner.keep_warm())

    def grant_runs_of(
        self, upstream: Upstream, version: int, session: int
    ) -> GrantRuns:
        """Return the slot runs of a grant, read from the table once per version."""
        state, runs = self.granted_runs.get(upstream.upstream, ((0, 0), []))
        if state != (version, session):
            table = self.view.tables.get(upstream.service)
            runs = [] if table is None else grant_runs(table, upstream, session)
            self.granted_runs[upstream.upstream] = ((version, session), runs)
        return runs

    async def send_drain(self, runner: UpstreamRunner) -> None:
        """Send a drain request to an upstream, once."""
        name = runner.upstream.upstream
        if name in self.drain_sent:
            return
        answer = await runner.peer.send(
            "POST", "/-/drain", {}, b"", GRANT_TIMEOUT_S, 65_536
        )
        if answer.status == 200:
            self.drain_sent.add(name)

    def release_idle_slots(self, upstream: Upstream) -> None:
        """Propose the release of closing slots without a request in flight."""
        table = self.view.tables.get(upstream.service)
        runner = self.service.runners.get(upstream.upstream)
        session = self.control_link.holder.session
        if table is None or runner is None:
            return
        closing = table.slots_where(
            lambda holding: (
                holding.closing
                and holding.upstream == upstream.upstream
                and holding.session == session
            )
        )
        busy = set(runner.running_slots.values())
        if upstream.state == UpstreamState.DRAINING and NO_SLOT in busy:
            # The cell removes the upstream after its last release.
            return
        idle = [slot for slot in closing if slot not in busy]
        if idle:
            command = SlotsReleased(
                upstream.service, ranges_of(idle), self.view.version, session
            )
            self.propose(f"release {upstream.upstream}", command)

    def report_lost(self, runner: UpstreamRunner) -> None:
        """Report a lost upstream again until the view shows it as lost.

        A single report could be lost in a change of leader. The slots would then stay
        with the dead process for as long as the lease of this host is renewed.
        """
        upstream = runner.upstream
        if (
            self.service.crash_detector.is_exit_reported(upstream)
            and runner.idle.is_set()
        ):
            self.propose(
                f"lost {upstream.upstream}",
                UpstreamLost(upstream.upstream, upstream.incarnation),
            )


async def close_when_idle(runner: UpstreamRunner) -> None:
    """Close the connections after the last request in flight has ended."""
    await runner.idle.wait()
    await runner.close()
