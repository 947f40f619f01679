"""Lets tasks wait for a change of shared state."""

from __future__ import annotations

import asyncio


class ChangeSignal:
    """Wakes all waiting tasks on each change of the state it belongs to."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self.future: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self.future is not None and not self.future.done():
            self.future.set_result(None)
        self.future = None

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the next change; return False after ``timeout_s``."""
        if self.future is None:
            self.future = asyncio.get_running_loop().create_future()
        future = self.future
        await asyncio.wait([future], timeout=timeout_s)
        return future.done()
