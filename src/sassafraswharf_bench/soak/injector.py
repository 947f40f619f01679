"""Injects the faults of a schedule into processes, upstreams and links."""

from __future__ import annotations

import asyncio
import signal
import time

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf_bench.soak.ledger import Signal
from sassafraswharf_bench.soak.schedule import CONFIGURATION
from sassafraswharf_bench.soak.schedule import CONTROL_LINK
from sassafraswharf_bench.soak.schedule import FAULT_KINDS
from sassafraswharf_bench.soak.schedule import UPSTREAM
from sassafraswharf_bench.soak.stop_checks import STOP_GRACE_S
from sassafraswharf_bench.soak.upstream_checks import DRAIN_S


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from sassafraswharf_bench.soak.configuration import ConfigurationChanger
    from sassafraswharf_bench.soak.fault import Fault
    from sassafraswharf_bench.soak.fleet import SoakFleet
    from sassafraswharf_bench.soak.link_proxy import LinkProxy


POLL_S: Final = 0.02
CONTROL_LINK_PREFIX: Final = "control_"
WATCH_PERIOD_S: Final = 0.5
"""Interval of the check for processes that exited unexpectedly."""
SIGHUP_READY_S: Final = 2.0
"""A process may not handle SIGHUP yet this soon after its start."""
LEAVE_TIMEOUT_S: Final = 4.0
"""An upstream whose departure isn't acknowledged within this time ends anyway."""


class FaultInjector:
    """Injects the faults of a schedule at their times."""

    def __init__(self, fleet: SoakFleet, changes: ConfigurationChanger) -> None:
        """Prepare to inject faults into a running fleet."""
        self.fleet = fleet
        self.machines = fleet.machines
        self.changes = changes
        self.ledger = fleet.ledger
        self.locks: dict[tuple[str, str], asyncio.Lock] = defaultdict(asyncio.Lock)
        self.expected_down: set[str] = set()
        self.started_at = dict.fromkeys(self.machines.processes, 0.0)
        self.actions: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "stop": self.stop,
            "kill": self.kill,
            "pause": self.pause,
            "hangup": self.hangup,
            "control_stop": self.stop,
            "control_kill": self.kill,
            "control_pause": self.pause,
            "drain": self.drain,
            "deregister": self.deregister,
            "crash": self.crash,
            "lose": self.break_answers,
            "cut": self.break_answers,
            "repeat_answer": self.break_answers,
            "silence": self.break_answers,
            "link_delay": self.degrade_link,
            "link_reset": self.reset_link,
            "link_silence_up": self.degrade_link,
            "link_silence_down": self.degrade_link,
            "control_link_delay": self.degrade_link,
            "control_link_reset": self.reset_link,
            "control_link_silence_up": self.degrade_link,
            "control_link_silence_down": self.degrade_link,
            "change_timeout": self.change,
            "change_idle": self.change,
            "add_route": self.change,
            "remove_route": self.change,
            "race": self.change,
        }

    async def play(self, faults: Sequence[Fault]) -> None:
        """Play all faults; end when the last one is over."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self.inject(fault, began + fault.at_s))

    async def inject(self, fault: Fault, at: float) -> None:
        """Play a fault once earlier ones of its process or upstream are over."""
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        place = FAULT_KINDS[fault.kind].target_type
        if place == CONFIGURATION or fault.kind == "hangup":
            await self.actions[fault.kind](fault)
            return
        part = place if place in {UPSTREAM, CONTROL_LINK} else "process"
        async with self.locks[part, fault.target]:
            await self.actions[fault.kind](fault)

    def record_signal(self, host: str, kind: str) -> None:
        """Record an action on a process or link."""
        self.ledger.signals.append(Signal(host, kind, time.monotonic()))

    # Processes.

    async def wait_for_exit(self, name: str, timeout_s: float) -> bool:
        """Wait for the end of a process; return whether it has ended."""
        until = time.monotonic() + timeout_s
        while self.machines.processes[name].poll() is None:
            if time.monotonic() >= until:
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def restart(self, name: str, after_s: float) -> None:
        """Start a process that was ended."""
        await asyncio.sleep(after_s)
        self.machines.start(name)
        self.record_signal(name, "start")
        self.started_at[name] = time.monotonic()
        self.expected_down.discard(name)

    async def stop(self, fault: Fault) -> None:
        """Stop a process as planned, kill it at the end of the grace, restart it."""
        name = fault.target
        self.expected_down.add(name)
        self.record_signal(name, "term")
        self.machines.signal(name, signal.SIGTERM)
        if not await self.wait_for_exit(name, STOP_GRACE_S):
            self.record_signal(name, "overrun")
            self.machines.kill(name)
        await self.restart(name, fault.length_s)

    async def kill(self, fault: Fault) -> None:
        """Kill a process and restart it."""
        name = fault.target
        self.expected_down.add(name)
        self.record_signal(name, "kill")
        self.machines.kill(name)
        await self.restart(name, fault.length_s)

    async def pause(self, fault: Fault) -> None:
        """Stop a process from running for a time."""
        self.record_signal(fault.target, "freeze")
        self.machines.signal(fault.target, signal.SIGSTOP)
        await asyncio.sleep(fault.length_s)
        self.machines.signal(fault.target, signal.SIGCONT)
        self.record_signal(fault.target, "thaw")

    async def hangup(self, fault: Fault) -> None:
        """Send SIGHUP, unless the process started too recently to handle it."""
        if time.monotonic() - self.started_at[fault.target] < SIGHUP_READY_S:
            return
        self.record_signal(fault.target, "hangup")
        self.machines.signal(fault.target, signal.SIGHUP)

    async def restart_crashed(self) -> None:
        """Record and restart processes that end by themselves."""
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            for name, process in list(self.machines.processes.items()):
                if name in self.expected_down or process.poll() is None:
                    continue
                self.record_signal(name, "ended")
                await self.restart(name, 0.0)

    # Upstreams.

    async def drain(self, fault: Fault) -> None:
        """Let an upstream report draining, deregister, end and restart."""
        upstream = self.fleet.upstreams[fault.target]
        upstream.state = "draining"
        if await upstream.wait_for_leave(LEAVE_TIMEOUT_S):
            await asyncio.sleep(DRAIN_S + fault.length_s)
        await upstream.deregister()
        await self.restart_upstream(fault)

    async def deregister(self, fault: Fault) -> None:
        """Let an upstream deregister, serve for a while, end and restart."""
        upstream = self.fleet.upstreams[fault.target]
        if await upstream.deregister():
            await asyncio.sleep(DRAIN_S + fault.length_s)
        await self.restart_upstream(fault)

    async def crash(self, fault: Fault) -> None:
        """End an upstream with its connections and start a new instance."""
        await self.restart_upstream(fault)

    async def restart_upstream(self, fault: Fault) -> None:
        """End an upstream and start a new instance."""
        await self.fleet.end_endpoint(fault.target)
        await asyncio.sleep(fault.length_s)
        await self.fleet.start_endpoint(fault.target)

    async def break_answers(self, fault: Fault) -> None:
        """Let an upstream break some of its answers for a time."""
        upstream = self.fleet.upstreams[fault.target]
        upstream.answer_fault = fault.kind
        await asyncio.sleep(fault.length_s)
        upstream.answer_fault = ""

    async def degrade_link(self, fault: Fault) -> None:
        """Delay or block data on the link of an upstream or control host."""
        link = self.link_of(fault)
        self.record_signal(fault.target, "harm")
        link.degrade(fault.kind.removeprefix(CONTROL_LINK_PREFIX))
        await asyncio.sleep(fault.length_s)
        link.restore()
        self.record_signal(fault.target, "heal")

    async def reset_link(self, fault: Fault) -> None:
        """Reset the connections on the link of an upstream or control host."""
        self.record_signal(fault.target, "harm")
        self.link_of(fault).reset()
        self.record_signal(fault.target, "heal")

    def link_of(self, fault: Fault) -> LinkProxy:
        """Return the link that a fault harms."""
        if fault.kind.startswith(CONTROL_LINK_PREFIX):
            return self.fleet.control_links[fault.target]
        return self.fleet.upstreams[fault.target].link

    async def change(self, fault: Fault) -> None:
        """Change the configuration."""
        await self.changes.change(fault.kind)
