"""Time until a key is served again after a loss."""

from __future__ import annotations

import asyncio
import itertools
import statistics
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from sassafraswharf_bench.bench.fleet import FIVE_HOSTS
from sassafraswharf_bench.bench.fleet import Fleet
from sassafraswharf_bench.bench.fleet import now
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measure
from sassafraswharf_bench.bench.measure import rounded


if TYPE_CHECKING:
    from collections.abc import Sequence


TRIALS = 5
KEYS = 4
ROUTERS = ("r1", "r2")
WATCH_S = 2.0
PAUSE_S = 0.01
CALL_TIMEOUT_S = 6.0
TARGET = Bound(2.0, "design 1.5: served again after 2 s")


async def call(fleet: Fleet, host: str, key: str, booking_id: str = "") -> bool:
    """Look a key up, or book under an id; return whether it was answered."""
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


async def served_after(
    fleet: Fleet, host: str, key: str, lost_at: float, booking_id: str = ""
) -> float:
    """Return the seconds from the loss until the key is answered."""
    for attempt in itertools.count():
        name = f"{booking_id}-{attempt}" if booking_id else ""
        if await call(fleet, host, key, name):
            break
        await asyncio.sleep(PAUSE_S)
    return now() - lost_at


async def lose(
    fleet: Fleet, lost: Sequence[str], owner: str, trial: str
) -> tuple[float, float]:
    """Kill hosts; return the longest times until lookups and bookings of keys."""
    other = next(name for name in ROUTERS if name not in lost)
    keys = await fleet.keys_of(owner, KEYS)
    lost_at = now()
    await asyncio.gather(*map(fleet.kill_host, lost))
    lookups, bookings = await asyncio.gather(
        asyncio.gather(*(served_after(fleet, other, key, lost_at) for key in keys)),
        asyncio.gather(
            *(
                served_after(fleet, other, key, lost_at, f"{trial}-{key}")
                for key in keys
            )
        ),
    )
    return max(lookups), max(bookings)


async def longest_gap(fleet: Fleet, host: str, key: str, until: float) -> float:
    """Return the longest time between two answers to a caller of one key."""
    longest, answered_at = 0.0, now()
    while now() < until:
        if await call(fleet, host, key):
            longest = max(longest, now() - answered_at)
            answered_at = now()
        await asyncio.sleep(PAUSE_S)
    return max(longest, now() - answered_at)


async def lose_leader(fleet: Fleet) -> float:
    """Kill the cell leader; return the longest gap that a caller saw."""
    leader = await fleet.leader()
    owner = await owner_of_slots(fleet)
    keys = await fleet.keys_of(owner, KEYS)
    until = now() + WATCH_S
    gaps = [
        asyncio.create_task(longest_gap(fleet, host, key, until))
        for host in ROUTERS
        for key in keys
    ]
    await fleet.kill(leader)
    longest = max(await asyncio.gather(*gaps))
    await repair(fleet, leader)
    return longest


async def owner_of_slots(fleet: Fleet) -> str:
    """Return a router beside which slots are owned."""
    owner = await fleet.admin("explain?service=diary&key=any")
    return str(owner["host"])


async def repair(fleet: Fleet, *hosts: str) -> None:
    """Restart hosts and wait until another loss can be tolerated."""
    for host in hosts:
        await fleet.restart_host(host)
    for host in hosts:
        await fleet.wait_until_listening(host)
    await fleet.leader()
    await fleet.wait_until_settled()
    await asyncio.sleep(1.0)


async def trials(folder: Path) -> dict[str, list[float]]:
    """Run all trials in one deployment and return their times."""
    times: dict[str, list[float]] = {"cell leader lost, longest gap of a caller": []}
    async with Fleet(folder, FIVE_HOSTS, ROUTERS, ("--service-ms=5",)) as fleet:
        await fleet.begin()
        for number in range(TRIALS):
            owner = await owner_of_slots(fleet)
            found = await lose(fleet, (owner,), owner, f"host-{number}")
            note(times, "host lost", found)
            await repair(fleet, owner)
            gap = await lose_leader(fleet)
            times["cell leader lost, longest gap of a caller"].append(gap)
            owner, leader = await owner_of_slots(fleet), await fleet.leader()
            found = await lose(fleet, (owner, leader), owner, f"both-{number}")
            note(times, "host and cell leader lost", found)
            await repair(fleet, leader, owner)
    return times


def note(times: dict[str, list[float]], name: str, found: tuple[float, float]) -> None:
    """Keep the times of lookups and bookings of one trial."""
    for kind, value in zip(("lookups", "bookings"), found, strict=True):
        times.setdefault(f"{name}, {kind}", []).append(value)


def run() -> list[Measure]:
    """Return median and maximum per kind of loss."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        times = asyncio.run(trials(Path(folder)))
    measures = []
    for name, values in times.items():
        text = f"{len(values)} trials"
        p50, longest = rounded(statistics.median(values)), rounded(max(values))
        measures.append(Measure(f"{name}, p50", p50, "s", TARGET, text))
        measures.append(Measure(f"{name}, max", longest, "s", TARGET, text))
    return measures
