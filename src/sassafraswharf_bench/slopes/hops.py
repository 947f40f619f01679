"""Processor time of a forwarded request and of a journal POST."""

from __future__ import annotations

import asyncio
import sys
import time

from statistics import median
from typing import Any

import aiohttp
import msgspec

from aiohttp import web

from sassafraswharf_bench import bare_forwarder
from sassafraswharf_bench.slopes.child import Child
from sassafraswharf_bench.slopes.child import serve_usage_requests
from sassafraswharf_bench.slopes.child import write_json_line
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


BODY_BYTES = (200, 4_096, 32_768)
RECORD_BYTES = (200, 1_000, 4_000)
WARM_UP_REQUESTS = 100
REQUEST_COUNT = 1000
ROUNDS = 3
CONCURRENCY = 8


async def _respond(request: web.Request) -> web.Response:
    return web.Response(body=bytes(int(request.query["n"])))


def _journal_application() -> web.Application:
    records: dict[str, bytes] = {}

    async def record(request: web.Request) -> web.Response:
        name, content = msgspec.msgpack.decode(await request.read())
        records[name] = content
        return web.Response(body=msgspec.msgpack.encode([1]))

    application = web.Application()
    application.router.add_post("/", record)
    return application


async def serve(application: web.Application) -> None:
    """Serve on an ephemeral port until standard input is closed."""
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    write_json_line(f"http://127.0.0.1:{runner.addresses[0][1]}")
    await serve_usage_requests()
    await runner.cleanup()


async def send_requests(url: str, count: int, body: bytes | None = None) -> None:
    """Send requests over persistent connections with limited concurrency."""
    async with aiohttp.ClientSession() as session:
        numbers = iter(range(count))

        async def send() -> None:
            for number in numbers:
                data = None
                if body is not None:
                    data = msgspec.msgpack.encode([f"key-{number}", body])
                method = "GET" if data is None else "POST"
                async with session.request(method, url, data=data) as answer:
                    await answer.read()

        await asyncio.gather(*(send() for _ in range(CONCURRENCY)))


async def _post_records(url: str, size: int) -> None:
    await send_requests(url, WARM_UP_REQUESTS, bytes(size))
    before = time.process_time()
    await send_requests(url, REQUEST_COUNT, bytes(size))
    write_json_line({"cpu_s": time.process_time() - before})


def measure_forwarding() -> dict[str, Any]:
    """Return the forwarder's processor time per request and per KiB of answer."""
    costs: dict[int, list[float]] = {size: [] for size in BODY_BYTES}
    with (
        Child("hops", "upstream") as upstream,
        Child("hops", "forwarder", upstream.read()) as forwarder,
    ):
        url = forwarder.read()
        for size in BODY_BYTES * ROUNDS:
            asyncio.run(send_requests(f"{url}/?n={size}", WARM_UP_REQUESTS))
            before = forwarder.usage()
            asyncio.run(send_requests(f"{url}/?n={size}", REQUEST_COUNT))
            cpu_s = forwarder.usage().cpu_s - before.cpu_s
            costs[size].append(cpu_s / REQUEST_COUNT)
    points = [Point(size / 1024, median(costs[size])) for size in BODY_BYTES]
    line = fit(points)
    return {
        "hop_s": line.intercept,
        "hop_per_kib_s": line.slope,
        "points": {"cpu_s_per_request_by_kib": points, "rounds_by_bytes": costs},
    }


def measure_journal() -> dict[str, Any]:
    """Return processor time per journal POST at the owner and at the peer."""
    owner_costs: dict[int, list[float]] = {size: [] for size in RECORD_BYTES}
    peer_costs: dict[int, list[float]] = {size: [] for size in RECORD_BYTES}
    with Child("hops", "journal") as peer:
        url = peer.read()
        for size in RECORD_BYTES * ROUNDS:
            before = peer.usage()
            with Child("hops", "record", url, size) as owner:
                owner_cpu_s = owner.read()["cpu_s"]
            peer_cpu_s = peer.usage().cpu_s - before.cpu_s
            owner_costs[size].append(owner_cpu_s / REQUEST_COUNT)
            peer_costs[size].append(peer_cpu_s / (REQUEST_COUNT + WARM_UP_REQUESTS))
    owner_points = [Point(size, median(owner_costs[size])) for size in RECORD_BYTES]
    peer_points = [Point(size, median(peer_costs[size])) for size in RECORD_BYTES]
    owner_line, peer_line = fit(owner_points), fit(peer_points)
    return {
        "journal_owner_s": owner_line.intercept,
        "journal_owner_per_byte_s": owner_line.slope,
        "journal_peer_s": peer_line.intercept,
        "journal_peer_per_byte_s": peer_line.slope,
        "points": {"owner_cpu_s": owner_points, "peer_cpu_s": peer_points},
    }


def main(arguments: list[str]) -> None:
    """Run one end of the measured exchange."""
    role = arguments[0]
    if role == "record":
        asyncio.run(_post_records(arguments[1], int(arguments[2])))
        return
    if role == "forwarder":
        application = bare_forwarder.build_application(arguments[1])
    elif role == "journal":
        application = _journal_application()
    else:
        application = web.Application()
        application.router.add_get("/", _respond)
    asyncio.run(serve(application))


if __name__ == "__main__":
    main(sys.argv[1:])
