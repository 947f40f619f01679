from __future__ import annotations

import tracemalloc

import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.codes import ResultCode
from sassafraswharf.ownership.hashing import slot_of
from sassafraswharf.ownership.slot_table import SlotTable
from sassafraswharf.ownership.values import SlotRun
from sassafraswharf.ownership.values import TableDelta


SERVICE = "diary"
SLOTS = 600


def run(
    start: int, length: int, owner: str | None, epoch: int, closing: bool = False
) -> SlotRun:
    upstream = owner or None
    session = int(owner[1:]) if owner else 0
    return SlotRun(start, length, upstream, session, epoch, closing, ())


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (run(0, 4, "u2", 6), None),
        (run(0, 4, "u1", 5, closing=True), None),
        (run(0, 4, None, 5), None),
        (run(0, 4, "u2", 5), ResultCode.STALE_EPOCH),
        (run(0, 4, "u2", 4), ResultCode.STALE_EPOCH),
        (run(4, 4, "u1", 5), ResultCode.STALE_EPOCH),
        (run(598, 3, "u2", 6), ResultCode.MESSAGE_MALFORMED),
        (run(-1, 3, "u2", 6), ResultCode.MESSAGE_MALFORMED),
        (run(0, 0, "u2", 6), ResultCode.MESSAGE_MALFORMED),
    ],
)
def test_assign_checks_epochs(change: SlotRun, code: ResultCode | None) -> None:
    """Guards against two owners under one epoch and epochs that go back."""
    table = SlotTable(SERVICE, SLOTS)
    first = [run(0, 4, "u1", 5), run(4, 4, "u1", 5, closing=True)]
    assert table.assign(first, 5).is_ok()
    before = table.pack()
    result = table.assign([run(100, 1, "u3", 9), change], 9)
    if code is None:
        assert result.is_ok()
    else:
        assert result.unwrap_err().code == code
        assert table.pack() == before


def test_delta_with_a_gap_is_refused() -> None:
    """Guards against a router that misses changes without noticing."""
    table = SlotTable(SERVICE, SLOTS)
    gap = TableDelta(SERVICE, 5, 6, SLOTS, ())
    assert table.apply(gap).unwrap_err().code == ResultCode.STALE_TABLE_VERSION


CHANGES = st.lists(
    st.tuples(
        st.integers(0, SLOTS - 1),
        st.integers(1, 300),
        st.sampled_from(["u1", "u2", "u3"]),
        st.sampled_from(["assign", "close", "release"]),
        st.lists(st.integers(0, 3), max_size=3),
    ),
    max_size=25,
)


@given(CHANGES)
def test_router_reaches_the_leaders_table(
    changes: list[tuple[int, int, str, str, list[int]]],
) -> None:
    """Guards against lost changes when deltas are lost, repeated or reordered."""
    leader = SlotTable(SERVICE, SLOTS)
    router = SlotTable(SERVICE, SLOTS)
    waiting: list[TableDelta] = []
    for version, (start, length, owner, kind, deliveries) in enumerate(changes, 1):
        old = leader.at(start)
        length = min(length, SLOTS - start)
        if kind == "assign" or old.upstream is None:
            leader.assign([run(start, length, owner, version)], version)
        elif kind == "close":
            closing = run(start, 1, old.upstream, old.epoch, closing=True)
            assert leader.assign([closing], version).is_ok()
        else:
            assert leader.assign([run(start, 1, None, old.epoch)], version).is_ok()
        waiting.append(leader.delta_since(router.version))
        waiting.append(leader.delta_since(max(0, version - 3)))
        for position in deliveries:
            before = router.version
            router.apply(waiting[-1 - position % len(waiting)])
            assert router.version >= before
    router.apply(leader.delta_since(router.version))
    assert router.runs() == leader.runs()
    assert SlotTable.unpack(leader.pack()).pack() == leader.pack()


def test_full_table_is_small() -> None:
    """Guards against a table that does not fit the memory limit of a host."""
    size, owners = 65_536, 2_400
    tracemalloc.start()
    table = SlotTable(SERVICE, size)
    share = size // owners
    for number in range(owners):
        end = size if number == owners - 1 else (number + 1) * share
        start = number * share
        table.assign([run(start, end - start, f"u{number + 1}", 1)], 1).unwrap()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used < 2_000_000
    assert len(table.runs()) == owners


def test_slots_of_keys_are_spread() -> None:
    """Guards against a hash that differs between releases or is uneven."""
    slots = [slot_of(SERVICE, f"key-{n}", 16) for n in range(1600)]
    assert min(slots.count(slot) for slot in range(16)) > 60
    assert [slot_of(SERVICE, key, 4096) for key in ("a", "b")] == [639, 536]
