from __future__ import annotations

from typing import Any

import pytest

from sassafraswharf.cell.delta import CellDelta
from sassafraswharf.clock import BootClock
from sassafraswharf.quarantine.local_quarantine import ExecutionMode
from sassafraswharf.quarantine.suspect_table import Conviction
from sassafraswharf.router.crash_detector import CrashDetector
from sassafraswharf.router.view import RouterView


DIGEST = b"d" * 16


@pytest.mark.parametrize(
    ("wall", "suspects", "treatment"),
    [
        (99.0, (), ExecutionMode.REFUSED),
        (100.0, (), ExecutionMode.NORMAL),
        (100.0, (DIGEST,), ExecutionMode.ALONE),
    ],
)
def test_a_conviction_ends_by_the_wall_clock(
    wall: float, suspects: tuple[bytes, ...], treatment: ExecutionMode
) -> None:
    """Guards against refusals that outlast a conviction until the cell changes.

    A conviction expires without a new table version, so the view still contains it.
    """
    now = 0.0

    async def commit(_command: Any) -> bool:
        return True

    view = RouterView()
    delta = CellDelta(0, 1, (), (), (), (Conviction(DIGEST, 100.0),), suspects)
    view.apply(delta).unwrap()
    crash_detector = CrashDetector(view, BootClock(), commit, lambda: now)
    assert crash_detector.execution_mode(DIGEST) == ExecutionMode.REFUSED
    crash_detector.record_remote_crash(DIGEST, alone=True)
    now = wall
    assert crash_detector.execution_mode(DIGEST) == treatment
