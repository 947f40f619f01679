"""Tests transfers from one sender to several receivers."""

from __future__ import annotations

import random

import pytest

from sassafraswharf.fleet import part_sender
from sassafraswharf.fleet.part_receiver import PartReceiver
from sassafraswharf.fleet.part_sender import PartSender
from sassafraswharf.fleet.transfer import PART_BYTES


WHOLE = random.Random(1).randbytes(PART_BYTES * 3)
MOST_PARTS = 8


@pytest.mark.parametrize(
    "bases",
    [
        pytest.param((0, 3), id="a restarted router and one that lags"),
        pytest.param((3, 0), id="the other order"),
        pytest.param((0, 1, 2, 3), id="four versions"),
    ],
)
def test_receivers_with_other_versions_get_the_same_whole_to_its_end(
    bases: tuple[int, ...],
) -> None:
    """Guards against receivers that get the first part repeatedly.

    A leader without history sends the whole state to receivers of any version, so
    their transfers have the same digest.
    """
    sender = PartSender(lambda _: WHOLE)
    receivers = {base: PartReceiver() for base in bases}
    done = set()
    for _ in range(MOST_PARTS):
        for base, receiver in receivers.items():
            if base in done:
                continue
            part = sender.part_for(base, 9, receiver.cursor)
            if receiver.add_part(part).unwrap() is not None:
                done.add(base)
    assert done == set(bases)


def test_a_transfer_in_use_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against restarting a slow receiver's transfer at each new version."""
    monkeypatch.setattr(part_sender, "MAX_CACHED_TRANSFERS", 4)
    newest = 2
    sender = PartSender(
        lambda base: random.Random(base * 1_000 + newest).randbytes(PART_BYTES * 3)
    )
    receiver = PartReceiver()
    for _ in range(MOST_PARTS):
        part = sender.part_for(1, newest, receiver.cursor)
        if receiver.add_part(part).unwrap() is not None:
            break
        newest += 1
        for base in range(10, 12):
            sender.part_for(base, newest, None)
    else:
        pytest.fail("the transfer never ended")
