"""Throughput and processor time of a hop, compared with a bare forwarder."""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf_bench.bench.fleet import BenchDeployment
from sassafraswharf_bench.bench.fleet import now
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import round_to_three_digits
from sassafraswharf_bench.local_deployment import HostSpec


if TYPE_CHECKING:
    from collections.abc import Sequence


HOSTS = (
    HostSpec("control", "z1", router=False),
    HostSpec("owner", "z1", control=False),
    HostSpec("other", "z2", control=False),
)
ROUNDS = 5
REQUESTS_PER_ROUND = 1_200
WARM_UP_REQUESTS = 200
CONNECTIONS = 16
KEY_COUNT = 64
FLAGS = ("--no-checks-grants", "--service-ms=0", "--slots=64", "--no-shed")
THROUGHPUT_BOUND = Bound(
    0.7, "baseline: bare forwarder, same run; at least 0.7 of it", at_least=True
)


class Route(NamedTuple):
    """A path to the stand-in; processor time is measured in ``process``."""

    name: str
    address: str
    process: str
    booking: bool = False


class Sample(NamedTuple):
    """Requests per second and processor time per request of one round."""

    per_s: float
    cpu_us: float


async def send_all(route: Route, count: int, run: str) -> None:
    """Send requests over persistent connections, one at a time on each."""
    numbers = iter(range(count))
    host, _, port = route.address.partition(":")

    async def connection() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in numbers:
            writer.write(request_bytes(route, number, f"{run}-{number}"))
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(f"{route.name}: {head!r}")
            await reader.readexactly(content_length(head))
        writer.close()
        await writer.wait_closed()

    await asyncio.gather(*(connection() for _ in range(CONNECTIONS)))


def request_bytes(route: Route, number: int, request_id: str) -> bytes:
    """Return one request; its bytes are the same on all routes."""
    key = f"key-{number % KEY_COUNT}"
    if not route.booking:
        return f"GET /diary/{key} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
    return (
        f"POST /diary/{key}/bookings HTTP/1.1\r\nHost: bench\r\n"
        f"Idempotency-Key: {request_id}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def content_length(head: bytes) -> int:
    """Return the length of the body that follows a response's head."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    raise ValueError("the response has no Content-Length header")


async def measure_round(fleet: BenchDeployment, route: Route, run: str) -> Sample:
    """Measure one round on one route."""
    await send_all(route, WARM_UP_REQUESTS, f"{run}-warm")
    cpu_at, started_at = fleet.cpu_s(route.process), now()
    await send_all(route, REQUESTS_PER_ROUND, run)
    elapsed_s = now() - started_at
    used_s = fleet.cpu_s(route.process) - cpu_at
    return Sample(REQUESTS_PER_ROUND / elapsed_s, used_s / REQUESTS_PER_ROUND * 1e6)


async def start_forwarder(fleet: BenchDeployment, target: str) -> str:
    """Start the bare forwarder and return its address."""
    process = await fleet.start(
        "bare",
        ("sassafraswharf_bench.bare_forwarder", "--target", f"http://{target}"),
        read_output=True,
    )
    if process.stdout is None:
        raise RuntimeError("standard output of the forwarder is not piped")
    address: str = json.loads(await process.stdout.readline())["address"]
    return address


async def measure(folder: Path, rounds: int = ROUNDS) -> dict[str, list[Sample]]:
    """Measure all routes in each round, so that disturbances affect all of them."""
    async with BenchDeployment(folder, HOSTS, ("owner",), FLAGS) as fleet:
        await fleet.start_all()
        stand_in = fleet.stand_ins["owner"].name
        direct = fleet.addresses[stand_in]
        bare = await start_forwarder(fleet, direct)
        owner = fleet.public_url("owner").removeprefix("http://")
        other = fleet.public_url("other").removeprefix("http://")
        routes = (
            Route("stand-in direct", direct, stand_in),
            Route("bare forwarder", bare, "bare"),
            Route("owner's router", owner, "owner"),
            Route("one more hop", other, "other"),
            Route("bare forwarder, bookings", bare, "bare", booking=True),
            Route("owner's router, bookings", owner, "owner", booking=True),
        )
        found: dict[str, list[Sample]] = {route.name: [] for route in routes}
        for number in range(rounds):
            for route in routes:
                found[route.name].append(
                    await measure_round(fleet, route, f"r{number}")
                )
    return found


def median_throughput_ratio(
    ours: Sequence[Sample], baseline: Sequence[Sample]
) -> float:
    """Return the median over the rounds of the throughput ratio."""
    pairs = zip(ours, baseline, strict=True)
    return statistics.median(own.per_s / base.per_s for own, base in pairs)


def run() -> list[Measurement]:
    """Return ratios to the bare forwarder, and throughput and CPU time per route."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-bench-") as folder:
        found = asyncio.run(measure(Path(folder)))
    bare, bare_bookings = found["bare forwarder"], found["bare forwarder, bookings"]
    lookups = median_throughput_ratio(found["owner's router"], bare)
    hops = median_throughput_ratio(found["one more hop"], bare)
    bookings = median_throughput_ratio(found["owner's router, bookings"], bare_bookings)
    note = f"median of {ROUNDS} interleaved rounds"
    measures = [
        Measurement(
            "lookups, owner's router / bare forwarder",
            round_to_three_digits(lookups),
            "",
            THROUGHPUT_BOUND,
            note,
        ),
        Measurement(
            "lookups, one more hop / bare forwarder",
            round_to_three_digits(hops),
            "",
            None,
            note,
        ),
        Measurement(
            "bookings, owner's router / bare forwarder",
            round_to_three_digits(bookings),
            "",
            None,
            note,
        ),
    ]
    for name, samples in found.items():
        per_s = round_to_three_digits(
            statistics.median(sample.per_s for sample in samples)
        )
        cpu_us = round_to_three_digits(
            statistics.median(sample.cpu_us for sample in samples)
        )
        text = f"{cpu_us:g} us of processor time per request in that process"
        measures.append(Measurement(f"throughput, {name}", per_s, "/s", None, text))
    return measures
