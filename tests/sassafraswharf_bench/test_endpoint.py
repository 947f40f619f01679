from __future__ import annotations

import pytest

from sassafraswharf_bench.provider.endpoint import Endpoint


ADDRESS = ("127.0.0.1", 1)
HELD = [0, 99, 7, ""]


@pytest.mark.parametrize(
    ("granted", "running", "released"),
    [
        ([[0, 49, 7, ""]], [10], [(50, 99)]),
        ([[0, 9, 7, ""], [50, 99, 7, ""]], [60], [(10, 49)]),
        ([[0, 49, 7, ""]], [60], []),
        ([HELD], [], []),
        ([], [], [(0, 99)]),
    ],
)
def test_only_the_keys_that_are_left_out_are_released(
    granted: list[list[int | str]], running: list[int], released: list[tuple[int, int]]
) -> None:
    """Guards against keys without an owner while requests run on adjacent keys.

    Soak seed 5: keys that moved were not served by any endpoint for 17 s.
    """
    endpoint = Endpoint("diary", ADDRESS, ADDRESS, keyed=True)
    sent_at = 1e12
    endpoint.apply_grants([HELD], "4s", sent_at)
    endpoint.running = running
    endpoint.apply_grants(granted, "4s", sent_at)
    endpoint.finish_releases()
    assert [row[:2] for row in endpoint.released] == released
