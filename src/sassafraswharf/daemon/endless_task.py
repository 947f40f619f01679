"""Tasks that run as long as their process."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final

from absl import logging


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


RESTART_DELAY_S: Final = 0.5


async def run_endlessly(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop that never ends, and start it again after an unexpected error.

    The exception of a background task is seen by nobody. Without a restart the
    process would go on with the state of that moment, for example with a
    configuration that it never updates again.

    >>> task = asyncio.create_task(
    ...     run_endlessly("reports", self.run_reports)
    ... )  # doctest: +SKIP
    """
    while True:
        try:
            await run()
        except Exception:
            logging.exception(
                "task %s failed; it starts again in %s s", name, RESTART_DELAY_S
            )
        await asyncio.sleep(RESTART_DELAY_S)
