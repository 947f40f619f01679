"""Time until keys are served again after the loss of a host or a leader."""

from __future__ import annotations

import asyncio
import itertools
import statistics
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from sassafraswharf_bench.bench.fleet import FIVE_HOSTS
from sassafraswharf_bench.bench.fleet import BenchDeployment
from sassafraswharf_bench.bench.fleet import now
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits


if TYPE_CHECKING:
    from collections.abc import Sequence


TRIALS = 5
KEYS_PER_TRIAL = 4
ROUTERS = ("r1", "r2")
OBSERVATION_S = 2.0
RETRY_INTERVAL_S = 0.01
CALL_TIMEOUT_S = 6.0
RECOVERY_BOUND = Bound(2.0, "design 1.5: served again after 2 s")


async def call(
    fleet: BenchDeployment, host: str, key: str, booking_id: str = ""
) -> bool:
    """Look a key up, or book under an id; return whether the status was 200."""
    url = f"{fleet.public_url(host)}/diary/{key}"
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        if booking_id:
            request = fleet.client.post(
                f"{url}/bookings",
                headers={"Idempotency-Key": booking_id},
                timeout=timeout,
            )
        else:
            request = fleet.client.get(url, timeout=timeout)
        async with request as response:
            await response.read()
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def time_until_served(
    fleet: BenchDeployment, host: str, key: str, lost_at: float, booking_id: str = ""
) -> float:
    """Retry until a request for the key succeeds; return the seconds since loss."""
    for attempt in itertools.count():
        name = f"{booking_id}-{attempt}" if booking_id else ""
        if await call(fleet, host, key, name):
            break
        await asyncio.sleep(RETRY_INTERVAL_S)
    return now() - lost_at


async def kill_and_measure_recovery(
    fleet: BenchDeployment, lost: Sequence[str], owner: str, trial: str
) -> tuple[float, float]:
    """Kill hosts; return the longest recovery times of lookups and bookings."""
    other = next(name for name in ROUTERS if name not in lost)
    keys = await fleet.keys_owned_on(owner, KEYS_PER_TRIAL)
    lost_at = now()
    await asyncio.gather(*map(fleet.kill_host, lost))
    lookups, bookings = await asyncio.gather(
        asyncio.gather(
            *(time_until_served(fleet, other, key, lost_at) for key in keys)
        ),
        asyncio.gather(
            *(
                time_until_served(fleet, other, key, lost_at, f"{trial}-{key}")
                for key in keys
            )
        ),
    )
    return max(lookups), max(bookings)


async def longest_gap(
    fleet: BenchDeployment, host: str, key: str, until: float
) -> float:
    """Return the longest time between two successful lookups of a key."""
    longest, answered_at = 0.0, now()
    while now() < until:
        if await call(fleet, host, key):
            longest = max(longest, now() - answered_at)
            answered_at = now()
        await asyncio.sleep(RETRY_INTERVAL_S)
    return max(longest, now() - answered_at)


async def kill_leader_and_measure_gap(fleet: BenchDeployment) -> float:
    """Kill the cell leader; return the longest gap between successful lookups."""
    leader = await fleet.leader()
    owner = await owner_of_slots(fleet)
    keys = await fleet.keys_owned_on(owner, KEYS_PER_TRIAL)
    until = now() + OBSERVATION_S
    gaps = [
        asyncio.create_task(longest_gap(fleet, host, key, until))
        for host in ROUTERS
        for key in keys
    ]
    await fleet.kill(leader)
    longest = max(await asyncio.gather(*gaps))
    await restore_hosts(fleet, leader)
    return longest


async def owner_of_slots(fleet: BenchDeployment) -> str:
    """Return a host whose upstream owns slots."""
    owner = await fleet.admin("explain?service=diary&key=any")
    return str(owner["host"])


async def restore_hosts(fleet: BenchDeployment, *hosts: str) -> None:
    """Restart hosts and wait until another loss can be tolerated."""
    for host in hosts:
        await fleet.restart_host(host)
    for host in hosts:
        await fleet.wait_until_listening(host)
    await fleet.leader()
    await fleet.wait_until_settled()
    await asyncio.sleep(1.0)


async def run_trials(folder: Path) -> dict[str, list[float]]:
    """Run all trials in one deployment and return the times per kind of loss."""
    times: dict[str, list[float]] = {"cell leader lost, longest gap of a caller": []}
    async with BenchDeployment(
        folder, FIVE_HOSTS, ROUTERS, ("--service-ms=5",)
    ) as fleet:
        await fleet.start_all()
        for number in range(TRIALS):
            owner = await owner_of_slots(fleet)
            found = await kill_and_measure_recovery(
                fleet, (owner,), owner, f"host-{number}"
            )
            record_times(times, "host lost", found)
            await restore_hosts(fleet, owner)
            gap = await kill_leader_and_measure_gap(fleet)
            times["cell leader lost, longest gap of a caller"].append(gap)
            owner, leader = await owner_of_slots(fleet), await fleet.leader()
            found = await kill_and_measure_recovery(
                fleet, (owner, leader), owner, f"both-{number}"
            )
            record_times(times, "host and cell leader lost", found)
            await restore_hosts(fleet, leader, owner)
    return times


def record_times(
    times: dict[str, list[float]], name: str, found: tuple[float, float]
) -> None:
    """Add the lookup and booking times of one trial to ``times``."""
    for kind, value in zip(("lookups", "bookings"), found, strict=True):
        times.setdefault(f"{name}, {kind}", []).append(value)


def run() -> list[Measurement]:
    """Return median and maximum per kind of loss."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        times = asyncio.run(run_trials(Path(folder)))
    measures = []
    for name, values in times.items():
        text = f"{len(values)} trials"
        p50, longest = (
            round_to_three_digits(statistics.median(values)),
            round_to_three_digits(max(values)),
        )
        measures.append(Measurement(f"{name}, p50", p50, "s", RECOVERY_BOUND, text))
        measures.append(Measurement(f"{name}, max", longest, "s", RECOVERY_BOUND, text))
    return measures
