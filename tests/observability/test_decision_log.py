"""The decision log is bounded, and writing it never blocks."""

from __future__ import annotations

import json
import os

from sassafraswharf.observability.decision_log import BURST_LINES
from sassafraswharf.observability.decision_log import MAX_QUEUED_LINES
from sassafraswharf.observability.decision_log import DecisionLog


def test_a_flood_of_one_kind_leaves_room_for_the_others() -> None:
    """Guards against a flood that hides the rare lines, or costs too much."""
    log = DecisionLog("h", -1)
    for number in range(1000):
        log.record("failed", number=number)
    log.record("leadership", leads=True)
    assert len(log.lines) <= BURST_LINES + 2
    assert json.loads(log.lines[-1])["kind"] == "leadership"
    log.budgets["failed"].left = 1.0
    log.record("failed", number=1000)
    assert json.loads(log.lines[-1])["left_out"] >= 1000 - BURST_LINES - 1


def test_a_reader_that_does_not_read_is_not_waited_for() -> None:
    """Guards against a process that blocks because its log is not read."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log = DecisionLog("h", write_end)
    for number in range(MAX_QUEUED_LINES * 3):
        log.record(f"kind-{number}", text="x" * 200)
        if number % 100 == 0:
            log.flush()
    log.flush()
    assert log.dropped > 0
    assert len(log.lines) <= MAX_QUEUED_LINES
    os.close(read_end)
    log.flush()
    os.close(write_end)
