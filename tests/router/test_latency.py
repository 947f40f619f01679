from __future__ import annotations

import pytest

from sassafraswharf.router.latency import LatencyHistogram


@pytest.mark.parametrize(
    ("seconds", "first_bound"),
    [(0.0, "0.001"), (0.001, "0.001"), (0.0191, "0.05"), (5.0, "5.0"), (9.0, "+Inf")],
)
def test_a_request_counts_from_its_bound_on(seconds: float, first_bound: str) -> None:
    """Guards against reporting too high a share of requests within the target."""
    latency = LatencyHistogram()
    latency.record("diary", "lookup", seconds)
    counted = [labels["le"] for count, labels in latency.read() if count]
    assert counted[0] == first_bound
    assert counted[-1] == "+Inf"
