"""Tests the leader's traffic counters for reports and replies."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.state_feed import StateFeed
from sassafraswharf.fleet.sync import SyncReply
from sassafraswharf.fleet.sync import SyncRequest
from sassafraswharf.fleet.transfer import TransferPart
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader


@pytest.mark.parametrize(("zone", "peers"), [("a", "own_zone"), ("b", "other_zone")])
def test_an_answer_is_counted_by_what_it_brings(zone: str, peers: str) -> None:
    """Guards against parts that are counted twice or under the wrong zone."""
    feed = StateFeed(FleetState(DocumentReader()), DecisionLog("h", -1), "a")
    report = SyncRequest("h", "ip", zone, 1, 1, 0, 0, 0.3)
    plan = TransferPart(1, 300, 0, bytes(300))
    fleet = TransferPart(2, 900, 0, bytes(40))
    feed.on_reply(report, SyncReply("ip", (), 4.5, plan, fleet), 120, 400)
    feed.on_reply(report, SyncReply("ip", (), 4.5), 130, 50)
    traffic = feed.traffic
    numbers = {tuple(labels.values()): value for value, labels in traffic.read_bytes()}
    assert numbers["report", peers, "received"] == 250
    assert numbers["plan", peers, "sent"] == 300
    assert numbers["fleet", peers, "sent"] == 40
    assert numbers["report", peers, "sent"] == 60 + 50
    counts = {
        tuple(labels.values()): value for value, labels in traffic.read_messages()
    }
    assert counts["fleet", peers, "sent"] == 1
    assert counts["report", peers, "sent"] == 2
    assert {one[1] for one in numbers} == {peers}
