"""Detects crashed upstreams and reports the requests that they were running."""

from __future__ import annotations

import asyncio
import math
import time

from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from sassafraswharf.cell.commands import ClearSuspects
from sassafraswharf.cell.commands import ReportCrash
from sassafraswharf.cell.commands import ReserveSolo
from sassafraswharf.cell.commands import UpstreamLost
from sassafraswharf.quarantine.local_quarantine import ExecutionMode
from sassafraswharf.quarantine.local_quarantine import LocalQuarantine
from sassafraswharf.router.change_signal import ChangeSignal
from sassafraswharf.router.process_probe import has_exited


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sassafraswharf.cell.commands import Command
    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.membership.values import Upstream
    from sassafraswharf.router.served_upstream import ServedUpstream
    from sassafraswharf.router.view import RouterView

    Commit = Callable[[Command], Awaitable[bool]]


RESTART_WAIT_S: Final = 0.3
"""How long to wait for the announcement of an immediately restarted process."""
CRASH_REPORT_TIMEOUT_S: Final = 1.0
PROPAGATION_WAIT_S: Final = 0.15
"""How long other routers need to pull a committed crash report."""
SOLO_POLL_INTERVAL_S: Final = 0.5
REMOTE_CRASH_TTL_S: Final = 5.0
CRASH_CONFIRMATION_S: Final = 3.0
"""An upstream without a new incarnation after this time is taken as not crashed."""


class CrashDetector:
    """Implements the quarantine of crashing requests on the router.

    A request whose connection was lost is answered only after the crash has been
    reported, waiting for at most a second. Otherwise an immediate resend could reach
    an upstream whose router does not know yet that the request is a suspect.
    """

    def __init__(
        self,
        view: RouterView,
        clock: Clock,
        commit: Commit,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.view = view
        self.wall_clock = wall_clock
        self.clock = clock
        self.commit = commit
        self.quarantine = LocalQuarantine()
        self.probe_finished = ChangeSignal()
        self.probes: dict[UpstreamId, asyncio.Task[None]] = {}
        self.exit_reports: dict[tuple[UpstreamId, int], asyncio.Task[None]] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.convicted: set[bytes] = set()
        self.solo_runs: set[bytes] = set()
        self.solo_released = ChangeSignal()

    async def stop(self) -> None:
        """Cancel all probes and reports."""
        tasks = [
            *self.probes.values(),
            *self.exit_reports.values(),
            *self.background_tasks,
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def execution_mode(self, digest: bytes) -> ExecutionMode:
        """Return how a request may run, by the cell's table and local observations."""
        self.sync_convictions()
        if digest in self.convicted:
            return ExecutionMode.REFUSED
        if digest in self.view.suspects:
            return ExecutionMode.ALONE
        return self.quarantine.execution_mode(digest, self.clock.now())

    def sync_convictions(self) -> None:
        """Drop local convictions that the cell has released or that have expired.

        A conviction expires without a new table version, so the view still contains
        it until the next change.
        """
        now = self.wall_clock()
        known = {
            digest
            for digest, conviction in self.view.convictions.items()
            if conviction.expires_at > now
        }
        released = self.convicted - known
        if released:
            self.quarantine.apply_cell_update((), (), released, self.clock.now())
        self.convicted = known

    def on_request_started(
        self, upstream: UpstreamId, request_id: int, digest: bytes, *, alone: bool
    ) -> None:
        """Record a request immediately before it is sent."""
        self.quarantine.request_started(upstream, request_id, digest, alone)

    def on_request_finished(self, upstream: UpstreamId, request_id: int) -> None:
        """Record that a request ended without a crash."""
        cleared = self.quarantine.request_finished(upstream, request_id)
        if cleared is not None and cleared in self.view.suspects | self.solo_runs:
            self.run_in_background(
                self.commit_ignoring_result(ClearSuspects((cleared,), time.time()))
            )

    async def reserve_solo(
        self, digest: bytes, session: SessionId, time_left_s: float
    ) -> bool:
        """Reserve the right to run a suspect alone; return whether it was granted.

        The cell grants it to one session at a time. Call ``wait_for_solo_end``
        before, and ``release_solo`` after the run.
        """
        if digest in self.solo_runs:
            return False
        self.solo_runs.add(digest)
        seconds = math.ceil(max(time_left_s, 0.0) + CRASH_CONFIRMATION_S)
        reserved = False
        try:
            reserved = await self.commit(ReserveSolo(digest, session, seconds))
        finally:
            if not reserved:
                self.release_solo(digest)
        return reserved

    def release_solo(self, digest: bytes) -> None:
        """Allow this router to run another request with the digest."""
        self.solo_runs.discard(digest)
        self.solo_released.notify()

    async def wait_for_solo_end(self, digest: bytes, until: float) -> ExecutionMode:
        """Wait while this router runs the request alone; return its treatment.

        Otherwise callers of a frequent request would be refused because it once ran
        concurrently with a request that caused a crash.
        """
        while digest in self.solo_runs and self.clock.now() < until:
            await self.solo_released.wait(
                min(until - self.clock.now(), SOLO_POLL_INTERVAL_S)
            )
        return self.execution_mode(digest)

    async def on_connection_lost(self, runner: ServedUpstream, request_id: int) -> None:
        """Probe whether the upstream process has exited, and wait for the report."""
        name = runner.upstream.upstream
        self.quarantine.request_finished(name, request_id, connection_lost=True)
        await asyncio.wait([self.start_probe(runner)], timeout=CRASH_REPORT_TIMEOUT_S)
        if runner.lost:
            await asyncio.sleep(PROPAGATION_WAIT_S)

    def record_remote_crash(self, digest: bytes, *, alone: bool) -> None:
        """Record a crash on another host until the cell's table shows it."""
        entries = [(digest, REMOTE_CRASH_TTL_S)]
        suspects, convicted = ([], entries) if alone else (entries, [])
        self.quarantine.apply_cell_update(suspects, convicted, (), self.clock.now())

    async def wait_for_probe(self, runner: ServedUpstream) -> None:
        """Wait while it is unknown whether the upstream process is alive."""
        while runner.liveness_unknown:
            self.start_probe(runner)
            await self.probe_finished.wait(CRASH_REPORT_TIMEOUT_S)

    def start_probe(self, runner: ServedUpstream) -> asyncio.Task[None]:
        """Probe an upstream in the background, one probe at a time."""
        name = runner.upstream.upstream
        task = self.probes.get(name)
        if task is None or task.done():
            task = self.probes[name] = asyncio.create_task(self.run_probe(runner))
        return task

    async def run_probe(self, runner: ServedUpstream) -> None:
        """Probe the upstream and report it if its process has exited."""
        upstream = runner.upstream
        exited = await has_exited(upstream.address)
        runner.lost = runner.lost or exited
        runner.liveness_unknown = False
        self.probe_finished.notify()
        if exited:
            logging.warning("upstream %s refuses connections", upstream.upstream)
            runner.reject_waiting()
            await self.report_exit(upstream, runner)
            return
        await asyncio.sleep(RESTART_WAIT_S)
        exit_report = self.exit_reports.get((upstream.upstream, upstream.incarnation))
        if exit_report is not None:
            await asyncio.wait([exit_report])
            return
        self.run_in_background(self.clear_if_alive(upstream))

    async def clear_if_alive(self, upstream: Upstream) -> None:
        """Clear requests whose connection was lost although the upstream is alive."""
        request_ids = list(self.quarantine.running.get(upstream.upstream, {}))
        await asyncio.sleep(CRASH_CONFIRMATION_S)
        if (upstream.upstream, upstream.incarnation) in self.exit_reports:
            return
        for request_id in request_ids:
            self.quarantine.upstream_survived(upstream.upstream, request_id)

    def on_restart(self, runner: ServedUpstream) -> None:
        """Handle the announcement of a newer process: the known one has exited."""
        upstream = runner.upstream
        if (upstream.upstream, upstream.incarnation) not in self.exit_reports:
            runner.lost = True
            self.run_in_background(self.report_exit(upstream, runner))

    async def report_exit(self, upstream: Upstream, runner: ServedUpstream) -> None:
        """Report an exit once; concurrent calls wait for the same report."""
        key = (upstream.upstream, upstream.incarnation)
        task = self.exit_reports.get(key)
        if task is None:
            task = asyncio.create_task(self.commit_exit(upstream, runner))
            self.exit_reports[key] = task
        await asyncio.wait([task])

    def is_exit_reported(self, upstream: Upstream) -> bool:
        """Return whether the first report of an exit has completed."""
        task = self.exit_reports.get((upstream.upstream, upstream.incarnation))
        return task is not None and task.done()

    async def commit_exit(self, upstream: Upstream, runner: ServedUpstream) -> None:
        """Commit the crash report first, so that every new owner knows the suspects.

        The cell reassigns the slots of a lost upstream at once, although the lease of
        this host is still valid. Therefore nothing more is sent to the process, and
        all requests in flight must have ended before the upstream is reported lost.
        """
        report = self.quarantine.upstream_died(upstream.upstream, self.clock.now())
        if report is not None:
            logging.warning(
                "upstream %s crashed, alone: %s, in flight: %s",
                upstream.upstream,
                report.alone,
                " ".join(digest.hex() for digest in report.digests),
            )
            await self.commit(
                ReportCrash(
                    upstream.upstream,
                    upstream.incarnation,
                    report.digests,
                    report.alone,
                    time.time(),
                )
            )
        await runner.idle.wait()
        await self.commit(
            UpstreamLost(upstream.upstream, upstream.incarnation, time.time())
        )

    async def commit_ignoring_result(self, command: Command) -> None:
        """Commit a command and ignore its result."""
        await self.commit(command)

    def run_in_background(self, work: Awaitable[None]) -> None:
        """Run work in the background until it completes or the router stops."""
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
