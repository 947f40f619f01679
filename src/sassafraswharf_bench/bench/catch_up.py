"""Time until restarted hosts hold the configuration changes that they missed."""

from __future__ import annotations

import asyncio
import tempfile

from pathlib import Path

from sassafraswharf_bench.bench.fleet import FIVE_HOSTS
from sassafraswharf_bench.bench.fleet import WAIT_TIMEOUT_S
from sassafraswharf_bench.bench.fleet import BenchDeployment
from sassafraswharf_bench.bench.fleet import document
from sassafraswharf_bench.bench.fleet import now
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits


CHANGE_COUNT = 500
POLL_INTERVAL_S = 0.02
CATCH_UP_BOUND = Bound(12.0, "design 1.5: in force everywhere in 12 s")


async def time_to_revision(
    fleet: BenchDeployment, host: str, revision: int, started_at: float
) -> float:
    """Return the seconds from ``started_at`` until a host reports a revision."""
    path = "status" if fleet.hosts[host].control else "router"
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            _, answer = await fleet.ask_admin(host, path, None)
            if answer is not None and answer.get("revision") == revision:
                return now() - started_at
            await asyncio.sleep(POLL_INTERVAL_S)


async def measure(folder: Path) -> tuple[list[float], float]:
    """Return catch-up times of control host and router, and the changes' duration."""
    async with BenchDeployment(folder, FIVE_HOSTS, ("r1",)) as fleet:
        await fleet.start_all()
        leader = await fleet.leader()
        absent = next(name for name in ("c1", "c2", "c3") if name != leader)
        await fleet.kill(absent, "r2")
        begun_at = now()
        for base in range(1, CHANGE_COUNT + 1):
            reply = await fleet.apply(
                document(base % 7 + 1.0), f"change-{base}", base_revision=base
            )
            if reply["code"]:
                raise RuntimeError(f"change {base} was refused: {reply}")
        changing_s = now() - begun_at
        started_at = now()
        await fleet.start_hosts(absent, "r2")
        times = await asyncio.gather(
            *(
                time_to_revision(fleet, host, CHANGE_COUNT + 1, started_at)
                for host in (absent, "r2")
            )
        )
    return list(times), changing_s


def run() -> list[Measurement]:
    """Return the catch-up times, counted from the start of the processes."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        times, changing_s = asyncio.run(measure(Path(folder)))
    note = f"{CHANGE_COUNT} changes applied in {changing_s:.1f} s"
    return [
        Measurement(
            f"catch-up of a {part}",
            round_to_three_digits(time_s),
            "s",
            CATCH_UP_BOUND,
            note,
        )
        for part, time_s in zip(("control host", "router"), times, strict=True)
    ]
