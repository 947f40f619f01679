"""Tests transfers in parts: progress, size limits and consistency after losses."""

from __future__ import annotations

import random

import hypothesis.strategies as st
import pytest

from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from result import Err
from result import Ok

from sassafraswharf.fleet import part_sender
from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.fleet_state import VersionedFleet
from sassafraswharf.fleet.fleet_table import FleetTable
from sassafraswharf.fleet.part_receiver import PartReceiver
from sassafraswharf.fleet.part_sender import PartSender
from sassafraswharf.fleet.sync import FLEET_DECODER
from sassafraswharf.fleet.transfer import PART_BYTES
from sassafraswharf.fleet.transfer import TransferPart
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.platform.documents import DocumentReader


def noise(base: int, size: int) -> bytes:
    """Return bytes that can't be compressed."""
    return random.Random(base).randbytes(size)


def receive(
    sender: PartSender, receiver: PartReceiver, base: int, target: int
) -> tuple[bytes, int]:
    """Return what was received in full and the number of parts."""
    for number in range(1, 10_000):
        taken = receiver.add_part(
            sender.part_for(base, target, receiver.cursor)
        ).unwrap()
        if taken is not None:
            return taken, number
    raise AssertionError("the transfer never ended")


@pytest.mark.parametrize(
    ("size", "parts"),
    [
        pytest.param(0, 1, id="nothing"),
        pytest.param(100, 1, id="a change"),
        pytest.param(PART_BYTES * 3, 4, id="several parts"),
    ],
)
def test_parts_are_bounded_and_join_to_the_whole(size: int, parts: int) -> None:
    """Guards against replies that grow with the changes a router lacks."""
    sender, receiver = PartSender(lambda base: noise(base, size)), PartReceiver()
    assert receive(sender, receiver, 1, 2) == (noise(1, size), parts)
    assert receiver.cursor is None
    part = sender.part_for(1, 2, None)
    assert len(part.data) <= PART_BYTES


def test_newer_versions_and_forgotten_transfers_do_not_end_in_a_mixture() -> None:
    """Guards against a transfer that restarts with every new version."""
    sender, receiver = (
        PartSender(lambda base: noise(base, PART_BYTES * 3)),
        PartReceiver(),
    )
    receiver.add_part(sender.part_for(1, 2, None)).unwrap()
    known = receiver.cursor
    following = sender.part_for(1, 9, known)
    assert known is not None
    assert (following.identity, following.offset) == known
    other = PartSender(lambda base: noise(base + 1, PART_BYTES * 3))
    begun_anew = other.part_for(1, 9, known)
    assert begun_anew.offset == 0
    assert receiver.add_part(begun_anew) == Ok(None)
    assert receive(other, receiver, 1, 9)[0] == noise(2, PART_BYTES * 3)


@pytest.mark.parametrize(
    "part",
    [
        pytest.param(TransferPart(1, 3, 0, b"abc"), id="another digest"),
        pytest.param(TransferPart(1, 1 << 40, 0, b"abc"), id="no bound"),
    ],
)
def test_a_transfer_that_cannot_be_read_is_dropped(part: TransferPart) -> None:
    """Guards against a router that never restarts after a damaged transfer."""
    receiver = PartReceiver()
    assert isinstance(receiver.add_part(part), Err)
    assert receiver.cursor is None


def test_kept_transfers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader whose memory grows with the versions of its routers."""
    monkeypatch.setattr(part_sender, "MAX_CACHED_BYTES", 10_000)
    sender = PartSender(lambda base: noise(base, 4_000))
    for base in range(20):
        sender.part_for(base, 30, None)
    assert sender.cached_bytes <= 10_000
    assert len(sender.by_cursor) == len(sender.cached)


def test_many_changes_of_the_fleet_are_sent_as_the_table() -> None:
    """Guards against replies that grow while a router is unreachable."""
    state = FleetState(DocumentReader())
    upstream = Upstream(Instance("x", 1), "s", "h", "ip", "a", 4, False)
    state.fleet.apply(1, FleetChange((upstream,)))
    for index in range(2, 400):
        rows = tuple(
            KeyRow(first, first + 1_023, upstream.instance, 0)
            for first in range(0, 65_536, 1_024)
        )
        change = FleetChange((), (), (ServiceRows("s", rows),), "keys")
        state.fleet.apply(index, change)
        state.fleet_history.append(VersionedFleet(index, change))
    one = len(state.encoded_fleet_since(398))
    assert len(state.encoded_fleet_since(2)) < 2 * one
    (newest,) = FLEET_DECODER.decode(state.encoded_fleet_since(2))
    assert newest.change.is_whole
    copy = FleetTable()
    copy.apply(newest.version, newest.change)
    assert copy.rows == state.fleet.rows
    assert copy.upstreams == state.fleet.upstreams


class LossyTransfers(RuleBasedStateMachine):
    """Parts are lost, delayed and duplicated while versions and leaders change.

    Each completed transfer must be the changes between two versions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.target = 1
        self.version = 0
        self.receiver = PartReceiver()
        self.late: list[TransferPart] = []
        self.elect(0)

    @rule(seed=st.integers(0, 2))
    def elect(self, seed: int) -> None:
        self.sender = PartSender(lambda base: self.content(base, seed))

    def content(self, base: int, seed: int) -> bytes:
        head = f"{base} {self.target} ".encode()
        return head + noise(base * 7 + seed, PART_BYTES * 2)

    @rule()
    def change(self) -> None:
        self.target += 1

    @rule(arrives=st.booleans())
    def report(self, arrives: bool) -> None:
        if self.version == self.target:
            return
        part = self.sender.part_for(self.version, self.target, self.receiver.cursor)
        self.late.append(part)
        if arrives:
            self.deliver(part)

    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        if self.late:
            self.deliver(data.draw(st.sampled_from(self.late)))

    def deliver(self, part: TransferPart) -> None:
        taken = self.receiver.add_part(part).unwrap()
        if taken is None:
            return
        base, target, _ = taken.split(b" ", 2)
        if int(base) == self.version:
            self.version = int(target)

    @invariant()
    def versions_are_never_ahead(self) -> None:
        assert self.version <= self.target

    def teardown(self) -> None:
        for _ in range(8):
            self.report(arrives=True)
        assert self.version == self.target


TestLossyTransfers = LossyTransfers.TestCase
