"""Rate-limited, non-blocking log of decisions as JSON lines."""

from __future__ import annotations

import asyncio
import os
import time

from collections import deque
from typing import Final

import msgspec


FLUSH_INTERVAL_S: Final = 0.2
MAX_QUEUED_LINES: Final = 2_048
MAX_CHUNK_LINES: Final = 256
MAX_LINES_PER_S: Final = 40.0
BURST_LINES: Final = 120.0


class LineBudget:
    """Token bucket that limits the lines of one kind of decision."""

    __slots__ = ("left", "left_out", "updated_at")

    def __init__(self, now: float) -> None:
        """Start with a full bucket."""
        self.left = BURST_LINES
        self.left_out = 0
        self.updated_at = now

    def try_spend(self, now: float) -> bool:
        """Return whether a line may be written now."""
        refilled = self.left + (now - self.updated_at) * MAX_LINES_PER_S
        self.left = min(BURST_LINES, refilled)
        self.updated_at = now
        if self.left < 1:
            self.left_out += 1
            return False
        self.left -= 1
        return True


class DecisionLog:
    """Collects lines and writes them from a task to a descriptor.

    Each kind of decision has a budget of lines a second; the next line of the
    kind says in ``left_out`` how many were dropped before it. While the
    reader stalls, up to ``MAX_QUEUED_LINES`` lines are queued; beyond that the
    oldest ones are dropped and counted.

    >>> log = DecisionLog("dub-a-1", -1)
    >>> log.record("refused", request="9c41", reason="no room", wait_ms=80)
    >>> log.lines[0].endswith(
    ...     b'"kind":"refused","request":"9c41","reason":"no room","wait_ms":80}'
    ... )
    True
    """

    def __init__(self, host: str, descriptor: int) -> None:
        """Write as ``host``; nothing is written before ``start``."""
        self.host = host
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque(maxlen=MAX_QUEUED_LINES)
        self.unwritten = b""
        self.dropped = 0
        self.budgets: dict[str, LineBudget] = {}
        self.task: asyncio.Task[None] | None = None

    def record(self, kind: str, /, **fields: object) -> None:
        """Queue a line with the kind of decision and its inputs."""
        now = time.monotonic()
        budget = self.budgets.get(kind)
        if budget is None:
            budget = self.budgets[kind] = LineBudget(now)
        if not budget.try_spend(now):
            return
        line: dict[str, object] = {
            "time": round(time.time(), 4),
            "host": self.host,
            "kind": kind,
            **fields,
        }
        if budget.left_out:
            line["left_out"] = budget.left_out
            budget.left_out = 0
        if len(self.lines) == MAX_QUEUED_LINES:
            self.dropped += 1
        self.lines.append(msgspec.json.encode(line))

    def start(self) -> None:
        """Start the writing task."""
        os.set_blocking(self.descriptor, False)
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Flush the queued lines periodically."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    async def stop(self) -> None:
        """Stop the task and write the lines that can be written without blocking."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                count = min(MAX_CHUNK_LINES, len(self.lines))
                chunk = [self.lines.popleft() for _ in range(count)]
                self.unwritten = b"\n".join(chunk) + b"\n"
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]
