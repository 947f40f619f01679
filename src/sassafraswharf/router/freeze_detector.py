"""Detects upstreams that accept connections but no longer answer."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from sassafraswharf.requests.outcome import ExchangeResult


if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.router.crash_detector import CrashDetector
    from sassafraswharf.router.upstream_runner import UpstreamRunner


CHECK_INTERVAL_S: Final = 0.1
SILENCE_THRESHOLD_S: Final = 0.5
"""How long requests may be in flight without any answer before a probe is sent."""
PROBE_TIMEOUT_S: Final = 0.4
MAX_HEALTH_BYTES: Final = 65_536
MAX_RECOVERIES: Final = 1_023


class FreezeDetector:
    """Probes upstreams whose requests remain unanswered.

    A slow upstream still answers its health endpoint, with any status. One that does
    not answer is treated as lost: its connections are closed, which cancels its
    requests, and its slots move. It joins again like a new process as soon as its
    next announcement arrives.
    """

    def __init__(
        self,
        runners: Mapping[UpstreamId, UpstreamRunner],
        crash_detector: CrashDetector,
        clock: Clock,
    ) -> None:
        self.runners = runners
        self.crash_detector = crash_detector
        self.clock = clock
        self.unresponsive: dict[UpstreamId, int] = {}
        self.recovery_counts: Counter[tuple[UpstreamId, int]] = Counter()
        self.probe_tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the detection task."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop detection and running probes."""
        tasks = list(self.probe_tasks.values())
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self) -> None:
        """Check for silent upstreams until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for name, runner in self.runners.items():
                busy = self.probe_tasks.get(name)
                if self.is_silent(runner) and (busy is None or busy.done()):
                    self.probe_tasks[name] = asyncio.create_task(self.probe(runner))

    def is_silent(self, runner: UpstreamRunner) -> bool:
        """Return whether requests are in flight and none was answered recently."""
        if runner.lost or not runner.running or runner.is_probe_delayed:
            return False
        oldest_at = next(iter(runner.running.values()))
        return (
            self.clock.now() - max(oldest_at, runner.last_answer_at)
            > SILENCE_THRESHOLD_S
        )

    async def probe(self, runner: UpstreamRunner) -> None:
        """Probe a silent upstream and report it as lost if it does not answer."""
        probe = await runner.peer.send(
            "GET", "/-/health", {}, b"", PROBE_TIMEOUT_S, MAX_HEALTH_BYTES
        )
        if probe.exchange is not ExchangeResult.TIMED_OUT or not self.is_silent(runner):
            return
        upstream = runner.upstream
        logging.warning(
            "upstream %s does not answer its health probe; treating it as lost",
            upstream.upstream,
        )
        runner.lost = True
        self.unresponsive[upstream.upstream] = upstream.incarnation // (
            MAX_RECOVERIES + 1
        )
        runner.reject_waiting()
        for request_id in list(
            self.crash_detector.quarantine.running.get(upstream.upstream, {})
        ):
            self.crash_detector.quarantine.upstream_survived(
                upstream.upstream, request_id
            )
        await runner.peer.close()
        await self.crash_detector.report_exit(upstream, runner)

    def on_announcement(self, name: UpstreamId, incarnation: int) -> None:
        """Handle an announcement, which lets an unresponsive process join again."""
        if self.unresponsive.get(name) == incarnation:
            del self.unresponsive[name]
            self.recovery_counts[name, incarnation] += 1

    def recoveries(self, name: UpstreamId, incarnation: int) -> int:
        """Return how often an unresponsive process has announced itself again."""
        return min(MAX_RECOVERIES, self.recovery_counts[name, incarnation])
