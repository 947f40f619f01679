"""Upstream stand-in: a small HTTP server that acts as an upstream, with faults.

Example: ``python -m sassafraswharf_bench.upstream_standin --upstream diary-1
--service diary --router http://127.0.0.1:8100 --slots 10 --service-ms 5``.

A request's key is the path segment ``--key-segment`` (counted from 0). A GET is
a lookup; a POST whose last segment is ``deposits`` is a deposit of the JSON
body's ``amount``; any other method is a booking. The query ``id`` is repeated
in the answer. With ``--calls PATH`` a request with the query ``nested=n`` calls PATH
through the router, with ``nested=n-1``, before it is answered; the answer is 502 if
that call fails. The query ``mark=crash`` ends the process and ``mark=cut``
truncates the answer.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import time

from pathlib import Path
from typing import Any

from aiohttp import web

from sassafraswharf_bench.standin.announcer import Announcer
from sassafraswharf_bench.standin.application import build_application
from sassafraswharf_bench.standin.behaviour import Behaviour
from sassafraswharf_bench.standin.behaviour import with_changes
from sassafraswharf_bench.standin.nested import NestedCalls
from sassafraswharf_bench.standin.upstream import Identity
from sassafraswharf_bench.standin.upstream import Upstream


SHUTDOWN_TIMEOUT_S = 30.0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; each field of the behaviour has a flag."""
    parser = argparse.ArgumentParser(
        prog="python -m sassafraswharf_bench.upstream_standin",
        description="Upstream stand-in with switchable faults.",
    )
    parser.add_argument("--upstream", required=True, help="id of the upstream")
    parser.add_argument("--service", required=True)
    parser.add_argument("--router", help="http://<address> of the router beside it")
    parser.add_argument("--address", default="127.0.0.1", help="IP address to bind")
    parser.add_argument("--port", type=int, default=0, help="0: chosen by the kernel")
    parser.add_argument("--connections", type=int, default=130)
    parser.add_argument("--incarnation", type=int, help="default: time in ms")
    parser.add_argument("--key-segment", type=int, default=1)
    parser.add_argument("--calls", metavar="PATH", help="path with {key}")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs-file", type=Path, help="append one line per run")
    for name, value in Behaviour()._asdict().items():
        flag = f"--{name.replace('_', '-')}"
        if isinstance(value, bool):
            parser.add_argument(
                flag, action=argparse.BooleanOptionalAction, default=value
            )
        else:
            parser.add_argument(flag, type=type(value), default=value)
    return parser


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT, then leave.

    The departure is announced; the process ends when it owns nothing and the
    requests in flight are finished.
    """
    fields = vars(arguments)
    behaviour = with_changes(
        Behaviour(), {name: fields[name] for name in Behaviour._fields}
    )
    incarnation = arguments.incarnation
    if incarnation is None:
        incarnation = time.time_ns() // 1_000_000
    identity = Identity(
        arguments.upstream,
        arguments.service,
        "",
        arguments.connections,
        incarnation,
        arguments.key_segment,
    )
    calls = None
    if arguments.calls is not None and arguments.router is not None:
        calls = NestedCalls(arguments.router, arguments.calls)
    upstream = Upstream(
        identity,
        behaviour,
        random.Random(arguments.seed),
        arguments.runs_file,
        calls=calls,
    )
    runner = web.AppRunner(
        build_application(upstream),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, arguments.address, arguments.port).start()
    address = f"{arguments.address}:{runner.addresses[0][1]}"
    upstream.identity = identity._replace(address=address)
    print_line({"upstream": identity.upstream, "address": address})
    await _announce_until_stopped(upstream, arguments.router)
    upstream.draining_since = upstream.now() - SHUTDOWN_TIMEOUT_S
    await runner.cleanup()
    if calls is not None:
        await calls.close()


async def _announce_until_stopped(upstream: Upstream, router: str | None) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if router is None:
        await stop.wait()
    else:
        announcer = Announcer(router, upstream.announcement)
        task = asyncio.create_task(announcer.run())
        await stop.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        upstream.leaving = True
        await announcer.announce_departure()


def print_line(content: dict[str, Any]) -> None:
    """Print one JSON object; the parent process reads the address from it."""
    print(json.dumps(content), flush=True)


def main() -> None:
    """Run the stand-in."""
    parser = build_parser()
    arguments = parser.parse_args()
    try:
        asyncio.run(serve(arguments))
    except ValueError as error:
        parser.error(str(error))


if __name__ == "__main__":
    main()
