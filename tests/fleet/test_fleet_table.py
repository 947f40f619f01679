"""Tests changes of the fleet table: their size and the resulting tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.fleet.fleet_table import FleetTable
from sassafraswharf.fleet.fleet_table import changed_rows
from sassafraswharf.fleet.fleet_table import splice
from sassafraswharf.fleet.values import KEY_COUNT
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows


if TYPE_CHECKING:
    from collections.abc import Sequence


OWNERS = [Instance(f"i-{number:010x}", 1_699_000_000_000) for number in range(5)]
LAST = KEY_COUNT - 1


@st.composite
def whole_rows(draw: st.DrawFn) -> tuple[KeyRow, ...]:
    """Draw rows that cover all keys."""
    cuts = sorted(draw(st.sets(st.integers(1, LAST), max_size=6)))
    firsts = [0, *cuts]
    lasts = [*(cut - 1 for cut in cuts), LAST]
    return tuple(
        KeyRow(first, last, draw(st.sampled_from(OWNERS)), draw(st.integers(1, 3)))
        for first, last in zip(firsts, lasts, strict=True)
    )


def said_of(rows: Sequence[KeyRow], key: int) -> tuple[object, ...]:
    """Return the fields after the key bounds of the row that covers a key."""
    (row,) = [one for one in rows if one.first <= key <= one.last]
    return row[2:]


@given(before=whole_rows(), after=whole_rows())
def test_changed_rows_lead_to_the_same_table(
    before: tuple[KeyRow, ...], after: tuple[KeyRow, ...]
) -> None:
    """Guards against routers whose owners differ from the leader's."""
    spliced = splice(before, changed_rows(before, after))
    bounds = {key for row in (*spliced, *after) for key in row[:2]}
    for key in bounds:
        assert said_of(spliced, key) == said_of(after, key)


@given(
    tables=st.lists(whole_rows(), min_size=2, max_size=6), joins_at=st.integers(0, 5)
)
def test_changes_from_any_version_give_the_same_table_as_a_snapshot(
    tables: list[tuple[KeyRow, ...]], joins_at: int
) -> None:
    """Guards against tables that depend on when a router joined."""
    leader, early, late = FleetTable(), FleetTable(), FleetTable()
    for version, rows in enumerate(tables, start=1):
        changed = changed_rows(leader.rows.get("s", ()), rows)
        change = FleetChange((), (), (ServiceRows("s", changed),) if changed else ())
        leader.apply(version, change)
        early.apply(version, change)
        if version == joins_at:
            late.apply(version, leader.snapshot())
        elif version > joins_at > 0:
            late.apply(version, change)
    assert early.rows == leader.rows
    if 0 < joins_at <= len(tables):
        assert late.rows == leader.rows
    copy = FleetTable()
    copy.apply(leader.version, leader.snapshot())
    assert copy.rows == leader.rows
    assert copy.row_starts == leader.row_starts


@pytest.mark.parametrize("rows", [30, 228, 2_400])
def test_a_move_costs_the_same_however_large_the_table_is(rows: int) -> None:
    """Guards against moves of a hot range that cost rows x routers."""
    step = KEY_COUNT // rows
    before = tuple(
        KeyRow(number * step, number * step + step - 1, OWNERS[number % 5], 9)
        for number in range(rows - 1)
    )
    before = (*before, KeyRow((rows - 1) * step, LAST, OWNERS[4], 7))
    moved = before[3]._replace(target=OWNERS[1])
    after = (*before[:3], moved._replace(last=moved.first + 9), *before[3:])
    after = (*after[:4], before[3]._replace(first=moved.first + 10), *after[5:])
    changed = changed_rows(before, after)
    assert changed == (moved._replace(last=moved.first + 9),)
    change = FleetChange((), (), (ServiceRows("s", changed),), "keys")
    assert len(msgspec.msgpack.encode(change)) < 200
