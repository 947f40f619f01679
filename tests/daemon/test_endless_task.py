"""Tests that background tasks survive an unexpected error."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from sassafraswharf.daemon import endless_task
from sassafraswharf.daemon.endless_task import run_endlessly


@pytest.mark.parametrize("error", [OverflowError("too large"), RecursionError(), None])
def test_a_task_starts_again_after_it_ended(
    error: Exception | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that goes on without one of its tasks."""
    monkeypatch.setattr(endless_task, "RESTART_DELAY_S", 0.0)
    runs = 0
    done = asyncio.Event()

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs == 3:
            done.set()
        if error is not None:
            raise error

    async def main() -> None:
        task = asyncio.create_task(run_endlessly("test", run))
        await asyncio.wait_for(done.wait(), 5.0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert task.cancelled()

    asyncio.run(main())
