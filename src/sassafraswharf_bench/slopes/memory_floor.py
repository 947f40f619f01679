"""Resident memory after each import of the daemon's libraries.

This module imports only the standard library and ``slopes.child``: its own
imports would count towards the memory floor.
"""

from __future__ import annotations

import importlib

from sassafraswharf_bench.slopes.child import own_usage
from sassafraswharf_bench.slopes.child import write_json_line


LIBRARIES = (
    "asyncio",
    "aiohttp",
    "pynng",
    "msgspec",
    "absl.logging",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
    "xxhash",
    "json5",
)


def main() -> None:
    """Report the resident bytes after each import and a first pynng socket."""
    steps = [("interpreter with asyncio", own_usage().rss_bytes)]
    for library in LIBRARIES:
        importlib.import_module(library)
        steps.append((library, own_usage().rss_bytes))
    pynng = importlib.import_module("pynng")
    with pynng.Pull0() as socket:
        socket.listen("tcp://127.0.0.1:0")
        steps.append(("first pynng socket", own_usage().rss_bytes))
    write_json_line(steps)


if __name__ == "__main__":
    main()
