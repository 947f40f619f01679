"""Lets tasks wait until shared state has changed."""

from __future__ import annotations

import asyncio


class ChangeSignal:
    """Wakes every task that waits when the state it belongs to changes."""

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
