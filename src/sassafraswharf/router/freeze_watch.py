"""Gives up upstreams that have stopped to answer although they still listen."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from sassafraswharf.requests.outcome import Exchange


if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.router.crash_watch import CrashWatch
    from sassafraswharf.router.upstream_runner import UpstreamRunner


CHECK_S: Final = 0.1
SILENCE_S: Final = 0.5
"""How long requests are in flight without any answer before a probe."""
PROBE_TIMEOUT_S: Final = 0.4
HEALTH_BYTES: Final = 65_536
MAX_THAWS: Final = 1_023


class FreezeWatch:
    """Probes upstreams whose requests stay without answers.

    A slow upstream still answers its health endpoint; what it says does not
    matter. One that does not answer is treated as lost: its connections are
    closed, which cancels what it was running, and its slots move. When it is
    heard again, it joins like a new process.
    """

    def __init__(
        self,
        runners: Mapping[UpstreamId, UpstreamRunner],
        crashes: CrashWatch,
        clock: Clock,
    ) -> None:
        self.runners = runners
        self.crashes = crashes
        self.clock = clock
        self.frozen: dict[UpstreamId, int] = {}
        self.thawed: Counter[tuple[UpstreamId, int]] = Counter()
        self.given_up: dict[UpstreamId, asyncio.Task[None]] = {}
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to watch."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop watching."""
        tasks = list(self.given_up.values())
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self) -> None:
        """Look for silent upstreams until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            for name, runner in self.runners.items():
                busy = self.given_up.get(name)
                if self.is_silent(runner) and (busy is None or busy.done()):
                    self.given_up[name] = asyncio.create_task(self.examine(runner))

    def is_silent(self, runner: UpstreamRunner) -> bool:
        """Return whether requests are in flight and none was answered lately."""
        if runner.lost or not runner.running or runner.is_probe_delayed:
            return False
        oldest_at = next(iter(runner.running.values()))
        return self.clock.now() - max(oldest_at, runner.completed_at) > SILENCE_S

    async def examine(self, runner: UpstreamRunner) -> None:
        """Probe a silent upstream and give it up if it does not answer."""
        probe = await runner.peer.send(
            "GET", "/-/health", {}, b"", PROBE_TIMEOUT_S, HEALTH_BYTES
        )
        if probe.exchange is not Exchange.TIMED_OUT or not self.is_silent(runner):
            return
        upstream = runner.upstream
        logging.warning(
            "upstream %s does not answer; it is given up", upstream.upstream
        )
        runner.lost = True
        self.frozen[upstream.upstream] = upstream.incarnation // (MAX_THAWS + 1)
        runner.withdraw()
        for request_id in list(self.crashes.watch.running.get(upstream.upstream, {})):
            self.crashes.watch.upstream_lives(upstream.upstream, request_id)
        await runner.peer.close()
        await self.crashes.report_death(upstream, runner)

    def heard(self, name: UpstreamId, incarnation: int) -> None:
        """Note an announcement; one of a given-up process lets it return."""
        if self.frozen.get(name) == incarnation:
            del self.frozen[name]
            self.thawed[name, incarnation] += 1

    def thaws(self, name: UpstreamId, incarnation: int) -> int:
        """Return how often a process was given up and heard again."""
        return min(MAX_THAWS, self.thawed[name, incarnation])
