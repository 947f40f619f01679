"""A small deployment of real processes on loopback, for demo, tests and benches."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Self

import aiohttp


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 40.0
FIRST_PORT = 10_240
LAST_PORT = 32_000
ALLOCATED_PORTS: set[int] = set()
"""Ports allocated by this process, also to hosts that have not started yet."""
POLL_INTERVAL_S = 0.05
LEADER_TIMEOUT_S = 40.0
"""On a busy machine an election may take many times the election timeout."""
OPERATOR_KEY = "operator-key-of-a-local-deployment"
PORTS = ("public_port", "internal_port", "control_port", "lease_port", "admin_port")


class HostSpec(NamedTuple):
    """A host to start; ``control`` gives it a data folder and the control part.

    ``cells`` are the cells of the control part, its own ``cell`` if empty.
    """

    name: str
    zone: str
    control: bool = True
    router: bool = True
    cell: str = "cell-1"
    cells: tuple[str, ...] = ()


class StandInSpec(NamedTuple):
    """An upstream stand-in on a host; ``flags`` are passed to its command line."""

    name: str
    service: str
    host: str
    flags: tuple[str, ...] = ()


class LocalDeployment:
    """Starts and stops daemons and stand-ins, one process each.

    All processes listen on loopback, on ports that were free when allocated. Use it
    as an asynchronous context manager: on exit it kills every process that it
    started.
    """

    def __init__(self, folder: Path, hosts: Sequence[HostSpec]) -> None:
        """Write keys and settings for ``hosts`` below ``folder``."""
        self.folder = folder
        self.hosts = {host.name: host for host in hosts}
        self.ports = {host.name: free_ports() for host in hosts}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, str] = {}
        self.session: aiohttp.ClientSession | None = None
        self.write_key("deployment.key", "shared-key-of-a-local-deployment")
        self.write_key("operator.key", OPERATOR_KEY)
        for host in hosts:
            self.write_settings(host)

    async def __aenter__(self) -> Self:
        """Open the HTTP client."""
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Kill all processes, also stopped ones."""
        if self.session is not None:
            await self.session.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))

    @property
    def client(self) -> aiohttp.ClientSession:
        """The HTTP client of the deployment."""
        if self.session is None:
            message = "use the deployment as an asynchronous context manager"
            raise RuntimeError(message)
        return self.session

    def write_key(self, name: str, key: str) -> None:
        """Write a key file that only its owner can read."""
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_text(key)

    def write_settings(self, host: HostSpec) -> None:
        """Write the settings file of a host."""
        settings: dict[str, Any] = {
            "deployment": "local",
            "host": host.name,
            "region": "local",
            "zone": host.zone,
            "cell": host.cell,
            "key_file": "deployment.key",
            "bind": {"address": LOOPBACK, **self.ports[host.name]},
            "control_hosts": [
                {
                    "name": other.name,
                    "zone": other.zone,
                    "address": LOOPBACK,
                    **{port: self.ports[other.name][port] for port in PORTS[2:]},
                }
                for other in self.hosts.values()
                if other.control
            ],
        }
        if host.router:
            settings["router"] = {}
        if host.control:
            settings["control"] = {"data_folder": f"data-{host.name}"}
            if host.cells:
                settings["control"]["cells"] = list(host.cells)
            settings["operator_key_file"] = "operator.key"
        path = self.folder / f"{host.name}.json"
        path.write_text(json.dumps(settings, indent=2))

    def public_url(self, host: str) -> str:
        """Return the URL at which callers reach a host."""
        return f"http://{LOOPBACK}:{self.ports[host]['public_port']}"

    def admin_url(self, host: str) -> str:
        """Return the URL of a host's admin endpoint."""
        return f"http://{LOOPBACK}:{self.ports[host]['admin_port']}"

    async def start_hosts(self, *names: str) -> None:
        """Start daemons, all of them if no names are given."""
        for name in names or tuple(self.hosts):
            await self.start(
                name, ("sassafraswharf.daemon.main", str(self.folder / f"{name}.json"))
            )

    async def start_stand_in(self, spec: StandInSpec) -> None:
        """Start a stand-in and read its address from its output."""
        arguments = (
            "sassafraswharf_bench.upstream_standin",
            "--upstream",
            spec.name,
            "--service",
            spec.service,
            "--router",
            self.public_url(spec.host),
            *spec.flags,
        )
        process = await self.start(spec.name, arguments, read_output=True)
        if process.stdout is None:
            message = f"{spec.name} has no output"
            raise RuntimeError(message)
        line = await process.stdout.readline()
        self.addresses[spec.name] = json.loads(line)["address"]

    async def start(
        self, name: str, arguments: Sequence[str], *, read_output: bool = False
    ) -> asyncio.subprocess.Process:
        """Start a module as a process whose log goes to a file."""
        log = (self.folder / f"{name}.log").open("ab")
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if read_output else log,
                stderr=log,
                env=environment(),
            )
        finally:
            log.close()
        self.processes[name] = process
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        self.processes[name].send_signal(number)

    async def kill(self, *names: str) -> None:
        """Kill processes with SIGKILL and wait for them."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            await self.processes[name].wait()

    async def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit status."""
        process = self.processes[name]
        process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()

    async def get(self, url: str) -> dict[str, Any]:
        """Return the JSON object at ``url``."""
        async with self.client.get(url) as response:
            found: dict[str, Any] = await response.json()
            return found

    async def admin(self, path: str, body: dict[str, Any] | None = None) -> Any:  # noqa: ANN401
        """Query the leader: GET without a body, else POST."""
        answer: Any = None
        give_up_at = time.monotonic() + LEADER_TIMEOUT_S
        while time.monotonic() < give_up_at:
            for name, host in self.hosts.items():
                if not host.control or self.processes[name].returncode is not None:
                    continue
                status, answer = await self.ask_admin(name, path, body)
                if status not in {0, 421, 503, 504}:
                    return answer
            await asyncio.sleep(POLL_INTERVAL_S)
        message = f"no answer for {path}: {answer}"
        raise TimeoutError(message)

    async def ask_admin(
        self, name: str, path: str, body: dict[str, Any] | None
    ) -> tuple[int, Any]:
        """Query one control host; status 0 means that it is unreachable."""
        url = f"{self.admin_url(name)}/v1/{path}"
        fields = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        timeout = aiohttp.ClientTimeout(total=5.0)
        method = "GET" if body is None else "POST"
        try:
            async with self.client.request(
                method, url, json=body, headers=fields, timeout=timeout
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return 0, None

    async def apply(
        self, document: dict[str, Any], change_id: str, base_revision: int = 0
    ) -> dict[str, Any]:
        """Apply a configuration."""
        body = {
            "change_id": change_id,
            "base_revision": base_revision,
            "author": "local",
            "document": document,
        }
        found: dict[str, Any] = await self.admin("configuration", body)
        return found

    async def wait_until(
        self, path: str, accept: Callable[[Any], bool], timeout_s: float = 15.0
    ) -> Any:  # noqa: ANN401
        """Poll an admin path until its answer is accepted, and return it."""
        async with asyncio.timeout(timeout_s):
            while True:
                answer = await self.admin(path)
                if accept(answer):
                    return answer
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_owned(self, timeout_s: float = 15.0) -> Any:  # noqa: ANN401
        """Wait until every slot of every service has an owner."""
        return await self.wait_until("owners", all_owned, timeout_s)

    def log_of(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f"{name}.log").read_text()


def all_owned(owners: dict[str, Any]) -> bool:
    """Return whether no slot is without an owner."""
    runs = [run for service in owners["services"] for run in service["runs"]]
    return bool(runs) and all(run["upstream"] is not None for run in runs)


def environment() -> dict[str, str]:
    """Return the environment for processes that import this checkout."""
    source = str(Path(__file__).parent.parent)
    return {**os.environ, "PYTHONPATH": source, "PYTHONUNBUFFERED": "1"}


def free_ports() -> dict[str, int]:
    """Return ports that are currently free for TCP and UDP.

    They lie below the kernel's ephemeral port range. An ephemeral port was
    sometimes taken by an outgoing connection between this call and the start of
    the daemon, or while a daemon was restarted.
    """
    ports: dict[str, int] = {}
    while len(ports) < len(PORTS):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port not in ALLOCATED_PORTS and is_free(port):
            ALLOCATED_PORTS.add(port)
            ports[PORTS[len(ports)]] = port
    return ports


def is_free(port: int) -> bool:
    """Return whether the kernel lets a process bind the port."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as item:
            try:
                item.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
