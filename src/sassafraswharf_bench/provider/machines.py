"""Starts the roles of the deploy file as processes on loopback addresses."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

from pathlib import Path
from typing import NamedTuple

from sassafraswharf_bench.provider.template import render


ROOT = Path(__file__).parents[3]
CONTROL_PORT = 8620
CALLER_PORT = 8629
READY_PORT = 8625
ENDPOINT_PORT = 8628
PEER_PORTS = [7600, 7615]
STOP_TIMEOUT_S = 10.0


class Machine(NamedTuple):
    """A machine of the provider; ``service`` is empty for control hosts."""

    name: str
    role: str
    ip: str
    service: str


class Machines:
    """The processes of a small fleet; only those are ever signalled or ended.

    Every machine has an address of its own below 127.0.0.0/8, because the ports
    are the same on all of them.
    """

    def __init__(
        self,
        folder: Path,
        services: list[str],
        *,
        controls: int = 3,
        net: int = 1,
        grants: str = "heartbeat",
    ) -> None:
        """Prepare control hosts and one router for each entry of ``services``.

        ``grants`` says how endpoints are granted keys: ``heartbeat`` or ``call``.
        """
        self.grants = grants
        self.folder = folder
        self.tolerated = (controls - 1) // 2
        prefix = f"127.{net}.0"
        self.controls = [
            Machine(f"core-{number}", "control", f"{prefix}.{number + 10}", "")
            for number in range(controls)
        ]
        self.routers = [
            Machine(f"side-{number}", "router", f"{prefix}.{number + 100}", service)
            for number, service in enumerate(services)
        ]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started: set[str] = set()
        self.template = (ROOT / "deploy" / "node.json").read_text()

    def machine(self, name: str) -> Machine:
        """Return the machine with a name."""
        return next(one for one in self.controls + self.routers if one.name == name)

    def start_all(self) -> None:
        """Start every process."""
        for machine in self.controls + self.routers:
            self.start(machine.name)

    def start(self, name: str) -> None:
        """Start the process of a machine with its current settings."""
        machine = self.machine(name)
        settings = self.folder / f"{name}.json"
        settings.write_text(render(self.template, self.settings_fields(machine)))
        self.started.add(name)
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "deploy/node.py", machine.role],
            cwd=ROOT,
            env={**os.environ, "SASSAFRASWHARF_BOOT": str(settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def settings_fields(self, machine: Machine) -> dict[str, object]:
        """Return what the provider tells a process."""
        is_control = machine.role == "control"
        listen = {"control": f"{machine.ip}:{CONTROL_PORT}"}
        if not is_control:
            listen["outbound"] = f"{machine.ip}:{CALLER_PORT}"
            listen["readyAddr"] = f"{machine.ip}:{READY_PORT}"
        return {
            "nodeName": machine.name,
            "zone": "local",
            "region": "here",
            "ip": machine.ip,
            "bootstrap": machine.name not in self.started,
            "dataDir": str(self.folder / f"{machine.name}-data")
            if is_control
            else None,
            "service": machine.service or None,
            "appAddr": f"{machine.ip}:{ENDPOINT_PORT}",
            "seedNodes": [f"{one.ip}:{CONTROL_PORT}" for one in self.controls[:3]],
            "peerPorts": PEER_PORTS,
            "listen": listen,
            "heartbeat": "300ms",
            "grants": self.grants,
            "faultTolerance": {"machines": self.tolerated},
            "bounds": {
                "drain": "2000ms",
                "grace": "6s",
                "holdMax": "10000ms",
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 64,
                "budgetWindow": "10s",
            },
        }

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait(STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """End every process."""
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
