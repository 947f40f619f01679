from __future__ import annotations

import json

from pathlib import Path

import pytest

from sassafraswharf_bench.sizing import arithmetic
from sassafraswharf_bench.sizing.checks import verdict
from sassafraswharf_bench.sizing.render import render
from sassafraswharf_bench.sizing.render import replace_section
from sassafraswharf_bench.sizing.targets import Assumptions
from sassafraswharf_bench.sizing.targets import Targets
from sassafraswharf_bench.slopes import wire
from sassafraswharf_bench.slopes.fitting import Point
from sassafraswharf_bench.slopes.fitting import fit


DOCS = Path(__file__).parent.parent.parent / "docs"
TARGETS = Targets(nodes=100, requests_per_s=100_000, zones=10, control_hosts=10)
ASSUMPTIONS = Assumptions(
    cells=10,
    slot_count=1_000,
    services=2,
    at_most_once_share=0.1,
    direct_request_share=0.5,
    answer_bytes=100,
)
SLOPES = {
    "hop_s": 0.0009,
    "hop_per_kib_s": 0.0001,
    "journal_owner_s": 0.0002,
    "journal_peer_s": 0.0001,
    "record_bytes": 400.0,
    "record_per_answer_byte": 1.0,
    "renewal_leader_s": 0.0001,
    "renewal_host_s": 0.0005,
    "renewal_bytes": 160.0,
    "ack_bytes": 84.0,
    "message_send_s": 0.0004,
    "message_receive_s": 0.0002,
    "run_wire_bytes": 30.0,
    "session_wire_bytes": 120.0,
    "upstream_wire_bytes": 80.0,
}


@pytest.mark.parametrize(
    ("computed", "expected"),
    [
        (arithmetic.requests(TARGETS, ASSUMPTIONS, SLOPES).direct_cores, 1.0),
        (arithmetic.requests(TARGETS, ASSUMPTIONS, SLOPES).mixed_cores, 1.5),
        (arithmetic.requests(TARGETS, ASSUMPTIONS, SLOPES).two_hop_cores, 2.0),
        (arithmetic.journal(TARGETS, ASSUMPTIONS, SLOPES).per_s, 100),
        (arithmetic.journal(TARGETS, ASSUMPTIONS, SLOPES).cores, 400 * 0.0003),
        (
            arithmetic.journal(TARGETS, ASSUMPTIONS, SLOPES).affordable_per_s,
            16e6 / (600 * 3 * 500),
        ),
        (arithmetic.leases(TARGETS, ASSUMPTIONS, SLOPES).leader_cores, 10 * 4 * 0.0001),
        (arithmetic.leases(TARGETS, ASSUMPTIONS, SLOPES).host_bytes_per_s, 4 * 300),
        (arithmetic.replication(2, ASSUMPTIONS, SLOPES).cores, 2 / 0.075 * 0.0006),
        (arithmetic.deltas(TARGETS, ASSUMPTIONS, SLOPES).fixed_bytes, 10 * 200),
        (arithmetic.deltas(TARGETS, ASSUMPTIONS, SLOPES).hot_slots, 63 * 20),
        (arithmetic.deltas(TARGETS, ASSUMPTIONS, SLOPES).zone_bytes, 200 * 30),
        (
            arithmetic.distribution(TARGETS, ASSUMPTIONS, SLOPES).pulls_per_s,
            100 / 12 / 10,
        ),
        (
            arithmetic.availability(TARGETS, ASSUMPTIONS).moved_share_per_day,
            353 * 2 / 100,
        ),
        (arithmetic.availability(TARGETS, ASSUMPTIONS).failure_s, 13 * 365 / 100 * 1.8),
        (arithmetic.slots_of(TARGETS, ASSUMPTIONS).keys_per_slot, 1_100_000),
        (arithmetic.lease_gap_s(0.9, 0.25, 0.5, 0.25), 0.1),
        (arithmetic.lease_gap_s(0.9, 0.25, 0.3, 0.25), 0.0),
        (fit([Point(1, 5), Point(2, 7), Point(3, 9)]).at(10), 23),
    ],
)
def test_arithmetic(computed: float, expected: float) -> None:
    """Guards against a capacity that does not follow from the slopes."""
    assert computed == pytest.approx(expected)


@pytest.mark.parametrize(
    ("needed", "limit", "expected"),
    [(2, 2, "met"), (5, 2, "not met: 2.5 times the limit")],
)
def test_verdict(needed: float, limit: float, expected: str) -> None:
    """Guards against a gap that the page reports as met."""
    assert verdict(needed, limit) == expected


def test_fit_needs_two_sizes() -> None:
    """Guards against a slope from a single size."""
    with pytest.raises(ValueError, match="two or more"):
        fit([Point(1, 5), Point(1, 6)])


def test_datagram_is_authenticated() -> None:
    """Guards against measuring a renewal without the check of its MAC."""
    datagram = wire.seal_renewal(wire.authenticator(wire.HOST))
    leader = wire.authenticator(wire.LEADER)
    with pytest.raises(ValueError, match="MAC"):
        wire.unseal(leader, datagram[:-1] + bytes([datagram[-1] ^ 1]))
    assert wire.unseal(leader, datagram).sequence == wire.SEQUENCE + 1


def test_page_holds_the_stored_measurement() -> None:
    """Guards against a page that differs from what the script prints."""
    page = (DOCS / "CAPACITY.md").read_text()
    measured = json.loads((DOCS / "capacity.json").read_text())
    assert replace_section(page, render(measured)) == page
