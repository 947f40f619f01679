"""The effect of commands on a slot table.

Every function checks each slot against the state at the time of application,
so a command that was decided on an older state can't take a slot from a
session that may still serve it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.identifiers import SessionId
from sassafraswharf.ownership.values import SlotRun


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafraswharf.cell.commands import AssignSlots
    from sassafraswharf.cell.commands import CloseSlots
    from sassafraswharf.cell.commands import JournalReady
    from sassafraswharf.cell.commands import SlotsReleased
    from sassafraswharf.cell.members import Members
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.ownership.slot_table import SlotTable
    from sassafraswharf.ownership.values import Holding
    from sassafraswharf.ownership.values import SlotRange


NO_SESSION = SessionId(0)


class AssignResult(NamedTuple):
    """Slots assigned in total, to another upstream, and to the same one."""

    assigned: int
    moved: int
    returned: int


def sources_after(holding: Holding, new_session: SessionId) -> tuple[SessionId, ...]:
    """Return the sessions whose journal sets the next owner must seal.

    The next owner's own journal set is left out. An owner that has not sealed
    its sources passes them on.
    """
    sources = holding.sources
    previous = holding.session
    if previous != NO_SESSION and previous not in sources:
        sources = (*sources, previous)
    return tuple(session for session in sources if session != new_session)


def assign(
    table: SlotTable,
    command: AssignSlots,
    index: int,
    is_orphaned: Callable[[Holding], bool],
    accepts_slots: Callable[[UpstreamId, SessionId], bool],
) -> AssignResult:
    """Assign the slots that are orphaned; the epoch is the log index."""
    moved = returned = assigned = 0
    for part in command.assignments:
        if not table.covers(part.start, part.length):
            continue
        if not accepts_slots(part.upstream, part.session):
            continue
        runs: list[SlotRun] = []
        for slot in range(part.start, part.start + part.length):
            holding = table.holding(slot)
            if not is_orphaned(holding):
                continue
            assigned += 1
            if holding.upstream == part.upstream:
                returned += 1
            elif table.epoch(slot):
                moved += 1
            sources = sources_after(holding, part.session)
            _extend(runs, slot, part.upstream, part.session, index, False, sources)
        table.assign(runs, index).unwrap()
    return AssignResult(assigned, moved, returned)


def close_ranges(
    table: SlotTable,
    command: CloseSlots,
    index: int,
    is_orphaned: Callable[[Holding], bool],
) -> int:
    """Mark owned slots as closing."""
    slots = [
        slot
        for slot in _slots(table, command.runs)
        if table.holding(slot).upstream and not is_orphaned(table.holding(slot))
    ]
    return close_slots(table, slots, index)


def close_slots(table: SlotTable, slots: Iterable[int], index: int) -> int:
    """Mark slots as closing that are not closing yet."""
    runs: list[SlotRun] = []
    for slot in slots:
        old = table.at(slot)
        if not old.closing:
            _extend(runs, slot, old.upstream, old.session, old.epoch, True, old.sources)
    table.assign(runs, index).unwrap()
    return sum(run.length for run in runs)


def release(table: SlotTable, command: SlotsReleased, index: int) -> int:
    """Take closing slots from the session that has finished their work."""
    runs: list[SlotRun] = []
    for slot in _slots(table, command.runs):
        old = table.at(slot)
        if not old.closing or old.session != command.session:
            continue
        if old.epoch > command.epoch:
            continue
        sources = sources_after(table.holding(slot), NO_SESSION)
        _extend(runs, slot, None, NO_SESSION, old.epoch, False, sources)
    table.assign(runs, index).unwrap()
    return sum(run.length for run in runs)


def journal_ready(table: SlotTable, command: JournalReady, index: int) -> int:
    """Empty the sources of slots whose owner has sealed them."""
    runs: list[SlotRun] = []
    for slot in _slots(table, command.slots):
        old = table.at(slot)
        if old.session != command.session or old.epoch != command.epoch:
            continue
        if old.sources:
            _extend(runs, slot, old.upstream, old.session, old.epoch, old.closing, ())
    table.assign(runs, index).unwrap()
    return sum(run.length for run in runs)


def release_journal(table: SlotTable, members: Members, index: int) -> int:
    """Empty the sources of slots whose records have no quorum left.

    A member whose session is closed has lost its records, unless its host was
    only frozen. Slots whose records can still be read are left to their owner.
    """
    runs: list[SlotRun] = []
    lost = {source for source in table.sessions() if members.has_lost_journal(source)}
    for slot in table.slots_where(lambda holding: not lost.isdisjoint(holding.sources)):
        old = table.at(slot)
        _extend(runs, slot, old.upstream, old.session, old.epoch, old.closing, ())
    table.assign(runs, index).unwrap()
    return sum(run.length for run in runs)


def _slots(table: SlotTable, runs: Iterable[SlotRange]) -> Iterable[int]:
    for run in runs:
        if table.covers(run.start, run.length):
            yield from range(run.start, run.start + run.length)


def _extend(
    runs: list[SlotRun],
    slot: int,
    upstream: UpstreamId | None,
    session: SessionId,
    epoch: int,
    closing: bool,
    sources: tuple[SessionId, ...],
) -> None:
    run = SlotRun(slot, 1, upstream, session, epoch, closing, sources)
    if runs:
        last = runs[-1]
        if last.start + last.length == slot and last[2:] == run[2:]:
            runs[-1] = last._replace(length=last.length + 1)
            return
    runs.append(run)
