"""Open-loop load tool for loopback addresses; prints its result as JSON.

Example: ``python -m sassafraswharf_bench.load --target http://127.0.0.1:8100
--rate 200 --requests 2000 --booking-share 0.2``. The exit status is 1 if an answer
did not match its request or if a run count contradicts an answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time

from pathlib import Path
from typing import Any

import aiohttp

from sassafraswharf_bench.traffic.arrivals import BOOKING
from sassafraswharf_bench.traffic.arrivals import DEPOSIT
from sassafraswharf_bench.traffic.arrivals import LOOKUP
from sassafraswharf_bench.traffic.arrivals import Traffic
from sassafraswharf_bench.traffic.arrivals import loopback_url
from sassafraswharf_bench.traffic.caller import CallerOptions
from sassafraswharf_bench.traffic.caller import Callers
from sassafraswharf_bench.traffic.tally import run_violations


MAX_REQUESTS = 1_000_000
MAX_DURATION_S = 3600.0
MAX_RATE = 5000.0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; each field of the traffic has a flag."""
    parser = argparse.ArgumentParser(
        prog="python -m sassafraswharf_bench.load",
        description="Open-loop load on routers at loopback addresses.",
    )
    parser.add_argument("--target", action="append", required=True)
    parser.add_argument("--lookup-path", default="/diary/{key}")
    parser.add_argument("--booking-path", default="/diary/{key}/bookings")
    parser.add_argument("--deposit-path", default="/diary/{key}/deposits")
    parser.add_argument("--run", help="prefix of the request ids; default: time in ms")
    parser.add_argument("--timeout-s", type=float, default=5.0)
    parser.add_argument("--max-in-flight", type=int, default=1000)
    parser.add_argument("--resends", type=int, default=0)
    parser.add_argument("--follow-owner", action="store_true")
    parser.add_argument(
        "--upstream", action="append", default=[], help="stand-in to read runs from"
    )
    parser.add_argument("--results-file", type=Path, help="result per idempotency key")
    for name, value in Traffic()._asdict().items():
        parser.add_argument(
            f"--{name.replace('_', '-')}", type=type(value), default=value
        )
    return parser


def checked_traffic(arguments: argparse.Namespace) -> Traffic:
    """Return the traffic; raise ValueError if it is out of bounds."""
    traffic = Traffic(*(getattr(arguments, name) for name in Traffic._fields))
    if not 0 < traffic.rate <= MAX_RATE or not 0 < traffic.requests <= MAX_REQUESTS:
        raise ValueError(f"rate is limited to {MAX_RATE:g}, requests to {MAX_REQUESTS}")
    if not 0 < traffic.duration_s <= MAX_DURATION_S:
        raise ValueError(f"duration is limited to {MAX_DURATION_S:g} s")
    if not 0 < traffic.hot_keys <= traffic.keys:
        raise ValueError("hot keys must be at least 1 and at most keys")
    if traffic.hot_move_s < 0:
        raise ValueError("hot_move_s must not be negative")
    return traffic


async def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run the load and return the result."""
    paths = {
        LOOKUP: arguments.lookup_path,
        BOOKING: arguments.booking_path,
        DEPOSIT: arguments.deposit_path,
    }
    options = CallerOptions(
        targets=tuple(arguments.target),
        paths=paths,
        run=arguments.run or f"r{time.time_ns() // 1_000_000}",
        timeout_s=arguments.timeout_s,
        max_in_flight=arguments.max_in_flight,
        resends=arguments.resends,
        follows_owner=arguments.follow_owner,
    )
    upstreams = [loopback_url(url) for url in arguments.upstream]
    traffic = checked_traffic(arguments)
    tally = await Callers(traffic, options).run()
    result = {"traffic": traffic._asdict(), **tally.report()}
    if upstreams:
        runs = [await _runs(url) for url in upstreams]
        result["violations"] = run_violations(tally.results_by_key, runs)
    if arguments.results_file is not None:
        content = json.dumps(tally.results_by_key)
        await asyncio.to_thread(arguments.results_file.write_text, content)
    return result


async def _runs(url: str) -> dict[str, int]:
    async with aiohttp.ClientSession() as session, session.get(f"{url}/-/runs") as got:
        runs: dict[str, int] = (await got.json())["runs"]
        return runs


def main() -> None:
    """Run the load tool."""
    parser = build_parser()
    arguments = parser.parse_args()
    try:
        result = asyncio.run(measure(arguments))
    except ValueError as error:
        parser.error(str(error))
    print(json.dumps(result, indent=2))
    if result["wrong_answers"] or result.get("violations"):
        sys.exit(1)


if __name__ == "__main__":
    main()
