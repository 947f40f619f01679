"""Memory, processor time and control traffic of idle daemons."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf_bench.bench.fleet import BenchDeployment
from sassafraswharf_bench.bench.fleet import now
from sassafraswharf_bench.bench.fleet import resident_mb
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits
from sassafraswharf_bench.local_deployment import HostSpec


if TYPE_CHECKING:
    from collections.abc import Sequence


IDLE_PERIOD_S = 20.0
SETTLE_S = 3.0
POLL_INTERVAL_S = 0.02
HOSTS = (
    HostSpec("both-1", "z1"),
    HostSpec("both-2", "z2"),
    HostSpec("control-1", "z3", router=False),
    HostSpec("router-1", "z1", control=False),
    HostSpec("router-2", "z2", control=False),
)
STAND_IN_HOSTS = ("both-1", "both-2", "router-1", "router-2")
DAEMON = "sassafraswharf_bench.bench.counting_daemon"
MEMORY_BOUND = Bound(64.0, "design 1.5: 64 MB per node")
CPU_BOUND = Bound(4.2, "design 1.5: 4.2% of a core per node")
TRAFFIC_BOUND = Bound(2.0, "design 1.5: 2 KB/s per node")


class IdleUsage(NamedTuple):
    """Resource usage of one daemon without requests or changes."""

    memory_mb: float
    core_percent: float
    sent_kb_s: float
    received_kb_s: float
    is_leader: bool


async def read_byte_counts(
    fleet: BenchDeployment, host: str, count: int
) -> dict[str, int]:
    """Request a daemon's byte counters and wait for line ``count`` of its file."""
    path = fleet.folder / f"{host}.json.bytes"
    fleet.signal(host, signal.SIGUSR1)
    while True:
        lines = path.read_text().splitlines()
        if len(lines) >= count:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    found: dict[str, int] = json.loads(lines[-1])
    return found


async def measure(folder: Path) -> dict[str, IdleUsage]:
    """Run an idle deployment and return the usage of each daemon."""
    async with BenchDeployment(folder, HOSTS, STAND_IN_HOSTS, daemon=DAEMON) as fleet:
        await fleet.start_all()
        await asyncio.sleep(SETTLE_S)
        leader = await fleet.leader()
        before = {host: await read_byte_counts(fleet, host, 1) for host in fleet.hosts}
        cpu_at = {host: fleet.cpu_s(host) for host in fleet.hosts}
        started_at = now()
        await asyncio.sleep(IDLE_PERIOD_S)
        elapsed_s = now() - started_at
        used = {host: fleet.cpu_s(host) - cpu_at[host] for host in fleet.hosts}
        after = {host: await read_byte_counts(fleet, host, 2) for host in fleet.hosts}
        return {
            host: IdleUsage(
                resident_mb(fleet.pid(host)),
                100 * used[host] / elapsed_s,
                (after[host]["sent"] - before[host]["sent"]) / elapsed_s / 1000,
                (after[host]["received"] - before[host]["received"]) / elapsed_s / 1000,
                host == leader,
            )
            for host in fleet.hosts
        }


def rows(part: str, found: Sequence[IdleUsage]) -> list[Measurement]:
    """Return the measurements of one kind of host, taken from the worst host."""
    lead = "; leads the cell" if any(rest.is_leader for rest in found) else ""
    busiest = max(found, key=lambda rest: rest.sent_kb_s + rest.received_kb_s)
    traffic = busiest.sent_kb_s + busiest.received_kb_s
    split = f"sent {busiest.sent_kb_s:.2f}, received {busiest.received_kb_s:.2f}"
    return [
        Measurement(
            f"{part}: resident memory",
            round_to_three_digits(max(rest.memory_mb for rest in found)),
            "MB",
            MEMORY_BOUND,
            f"worst of {len(found)}",
        ),
        Measurement(
            f"{part}: processor time at rest",
            round_to_three_digits(max(rest.core_percent for rest in found)),
            "%",
            CPU_BOUND,
            f"worst of {len(found)}, {IDLE_PERIOD_S:.0f} s{lead}",
        ),
        Measurement(
            f"{part}: control bytes at rest",
            round_to_three_digits(traffic),
            "KB/s",
            TRAFFIC_BOUND,
            f"{split}{lead}",
        ),
    ]


def run() -> list[Measurement]:
    """Return the measurements per kind of host."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        found = asyncio.run(measure(Path(folder)))
    return [
        row
        for part in ("router", "control", "both")
        for row in rows(
            f"{part} part" if part != "both" else "both parts",
            [rest for host, rest in found.items() if host.startswith(part)],
        )
    ]
