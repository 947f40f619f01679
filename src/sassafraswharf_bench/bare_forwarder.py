"""Minimal aiohttp forwarding proxy: the baseline for the cost of a hop.

Example: ``python -m sassafraswharf_bench.bare_forwarder --target
http://127.0.0.1:9000``. It prints its address as one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json

from typing import TYPE_CHECKING

import aiohttp

from aiohttp import web

from sassafraswharf_bench.traffic.arrivals import loopback_url


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


MAX_BODY_BYTES = 4 * 1_048_576
FORWARDED = ("Idempotency-Key", "Content-Type")


def build_application(target: str) -> web.Application:
    """Return an application that forwards everything to the target URL."""
    session_key = web.AppKey("session", aiohttp.ClientSession)

    async def keep_session(application: web.Application) -> AsyncIterator[None]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            application[session_key] = session
            yield

    async def forward(request: web.Request) -> web.Response:
        headers = {n: request.headers[n] for n in FORWARDED if n in request.headers}
        async with request.app[session_key].request(
            request.method,
            f"{target}{request.path_qs}",
            data=await request.read(),
            headers=headers,
        ) as answer:
            return web.Response(
                status=answer.status,
                body=await answer.read(),
                content_type=answer.content_type,
            )

    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application.cleanup_ctx.append(keep_session)
    application.router.add_route("*", "/{path:.*}", forward)
    return application


async def serve(target: str, address: str, port: int) -> None:
    """Forward until the task is cancelled."""
    runner = web.AppRunner(build_application(target), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    bound = f"{address}:{runner.addresses[0][1]}"
    print(json.dumps({"address": bound}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the forwarder."""
    parser = argparse.ArgumentParser(
        prog="python -m sassafraswharf_bench.bare_forwarder"
    )
    parser.add_argument("--target", required=True)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    try:
        target = loopback_url(arguments.target)
        asyncio.run(serve(target, arguments.address, arguments.port))
    except ValueError as error:
        parser.error(str(error))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
