"""Resident memory of the daemon's libraries and of idle connections."""

from __future__ import annotations

import asyncio
import sys

from typing import Any

from aiohttp import web

from sassafraswharf_bench.slopes.child import Child
from sassafraswharf_bench.slopes.child import serve_usage_requests
from sassafraswharf_bench.slopes.child import write_json_line
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


CONNECTION_COUNTS = (100, 200, 400)
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def _respond(_request: web.Request) -> web.Response:
    return web.Response(body=bytes(200))


async def serve() -> None:
    """Serve until standard input is closed, keeping idle connections open."""
    application = web.Application()
    application.router.add_get("/", _respond)
    runner = web.AppRunner(application, access_log=None, keepalive_timeout=60)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=512).start()
    write_json_line(runner.addresses[0][1])
    await serve_usage_requests()
    await runner.cleanup()


async def _open_idle_connections(port: int, count: int) -> list[asyncio.StreamWriter]:
    writers = []
    for _ in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(200)
        writers.append(writer)
    return writers


async def measure_connections() -> list[Point]:
    """Return the server's resident bytes by the number of idle connections."""
    points: list[Point] = []
    writers: list[asyncio.StreamWriter] = []
    with Child("memory", "serve") as server:
        port = server.read()
        for count in CONNECTION_COUNTS:
            writers += await _open_idle_connections(port, count - len(writers))
            points.append(Point(count, server.usage().rss_bytes))
        for writer in writers:
            writer.close()
    return points


def measure() -> dict[str, Any]:
    """Return resident memory after all imports, and bytes per idle connection."""
    with Child("memory_floor") as child:
        steps = child.read()
    connections = asyncio.run(measure_connections())
    return {
        "interpreter_bytes": steps[0][1],
        "import_floor_bytes": steps[-1][1],
        "connection_bytes": fit(connections).slope,
        "points": {"rss_by_step": steps, "rss_by_connections": connections},
    }


def main(_arguments: list[str]) -> None:
    """Run the server for idle connections."""
    asyncio.run(serve())


if __name__ == "__main__":
    main(sys.argv[1:])
