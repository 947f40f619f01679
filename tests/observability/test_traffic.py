"""Counts of messages and bytes by kind, direction and zone."""

from __future__ import annotations

from sassafraswharf.observability.traffic import Traffic


def test_flows_are_read_by_kind_direction_and_zone() -> None:
    """Guards against traffic between zones counted as traffic within the zone."""
    traffic = Traffic("a")
    traffic.flow("hop", "a").on_sent(100)
    traffic.flow("hop", "b").on_sent(7)
    traffic.flow("hop", "c").on_sent(3)
    traffic.flow("report", "b").on_received(20)
    numbers = {tuple(labels.values()): value for value, labels in traffic.read_bytes()}
    assert numbers == {
        ("hop", "own_zone", "sent"): 100,
        ("hop", "own_zone", "received"): 0,
        ("hop", "other_zone", "sent"): 10,
        ("hop", "other_zone", "received"): 0,
        ("report", "other_zone", "sent"): 0,
        ("report", "other_zone", "received"): 20,
    }
    counts = {
        tuple(labels.values()): value for value, labels in traffic.read_messages()
    }
    assert counts["hop", "other_zone", "sent"] == 2
    assert counts["report", "other_zone", "received"] == 1
