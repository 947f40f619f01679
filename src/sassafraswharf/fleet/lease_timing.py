"""Durations of the leases of routers."""

from __future__ import annotations

from typing import NamedTuple


MAX_CLOCK_RATE_RATIO = 1.05
"""The clocks of two hosts may run at rates that differ by 5%."""


class LeaseTiming(NamedTuple):
    """Durations of leases in seconds.

    ``lease_s`` counts from the time at which a router sent its renewal. Each key
    hold of an upstream counts from the same time and ends no later than the lease.
    ``election_s`` is how long an earlier leader may have granted leases before the
    current one was elected.
    """

    lease_s: float = 4.5
    election_s: float = 1.0

    @property
    def expiry_s(self) -> float:
        """Return the time without a renewal after which a lease has expired."""
        return self.lease_s * MAX_CLOCK_RATE_RATIO

    @property
    def takeover_s(self) -> float:
        """Return the time after which all leases of earlier leaders have expired."""
        return self.expiry_s + self.election_s
