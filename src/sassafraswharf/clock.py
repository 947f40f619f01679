"""Clocks that measure time on one host."""

from __future__ import annotations

import time

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock in seconds."""

    def now(self) -> float:
        """Return the current instant in seconds."""


class BootClock:
    """The boot-time clock of the host.

    It also counts the time during which the host was suspended, so a lease
    does not outlive a suspension.
    """

    def now(self) -> float:
        """Return the seconds since the host was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
