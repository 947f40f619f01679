"""Child processes that report their own processor time and memory.

The two ends of a measured exchange run in separate processes, so that each
end's processor time is known on its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from types import TracebackType


PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STOP_TIMEOUT_S = 5.0


class Usage(NamedTuple):
    """Processor time in seconds and resident memory in bytes of a process."""

    cpu_s: float
    rss_bytes: int


def own_usage() -> Usage:
    """Return the usage of this process."""
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return Usage(time.process_time(), resident_pages * PAGE_BYTES)


def write_json_line(content: Any) -> None:  # noqa: ANN401
    """Write one JSON line to the parent on standard output."""
    print(json.dumps(content), flush=True)


async def serve_usage_requests() -> None:
    """Write the usage for each line on standard input until it is closed."""
    loop = asyncio.get_running_loop()
    closed = asyncio.Event()

    def on_line() -> None:
        if not sys.stdin.readline():
            loop.remove_reader(sys.stdin)
            closed.set()
            return
        write_json_line(own_usage())

    loop.add_reader(sys.stdin, on_line)
    await closed.wait()


class Child:
    """A module of this package that runs in a child process.

    The process ends when its standard input is closed.
    """

    def __init__(self, module: str, *arguments: object) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"sassafraswharf_bench.slopes.{module}"]
            + [str(argument) for argument in arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def __enter__(self) -> Child:
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.stop()

    def read(self) -> Any:  # noqa: ANN401
        """Return the next JSON line; raise RuntimeError if there is none."""
        line = self.process.stdout.readline() if self.process.stdout else ""
        if not line:
            raise RuntimeError(f"child {self.process.args!r} ended without output")
        return json.loads(line)

    def usage(self) -> Usage:
        """Request the usage of the child process."""
        if self.process.stdin is None:
            raise RuntimeError("standard input of the child process is not piped")
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        return Usage(*self.read())

    def stop(self) -> None:
        """Close the child's standard input, wait, and kill it after the timeout."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()
