"""Applies commands to a slot table.

Every function checks each slot against the state at the time of application,
so a command computed from an older state can't take a slot from a
session that may still serve it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.identifiers import SessionId
from sassafraswharf.ownership.slot_table import ranges_of
from sassafraswharf.ownership.values import Holding
from sassafraswharf.ownership.values import SlotRange
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


NO_SESSION = SessionId(0)


class AssignResult(NamedTuple):
    """Slots assigned in total, moved to another upstream, and returned."""

    assigned: int
    moved: int
    returned: int


def sources_for_next_owner(
    holding: Holding, new_session: SessionId
) -> tuple[SessionId, ...]:
    """Return the sessions whose journal sets the next owner must seal.

    The next owner's own journal set is left out. Sources that the previous
    owner has not sealed are inherited.
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
        if not accepts_slots(part.upstream, part.session):
            continue
        runs: list[SlotRun] = []
        for run in table.runs_in([SlotRange(part.start, part.length)]):
            holding = _holding_of(run)
            if not is_orphaned(holding):
                continue
            assigned += run.length
            if run.upstream == part.upstream:
                returned += run.length
            elif run.epoch:
                moved += run.length
            sources = sources_for_next_owner(holding, part.session)
            runs.append(
                SlotRun(
                    run.start,
                    run.length,
                    part.upstream,
                    part.session,
                    index,
                    False,
                    sources,
                )
            )
        table.assign(runs, index).unwrap()
    return AssignResult(assigned, moved, returned)


def close_ranges(
    table: SlotTable,
    command: CloseSlots,
    index: int,
    is_orphaned: Callable[[Holding], bool],
) -> int:
    """Mark owned slots as closing."""
    return _write_runs(
        table,
        index,
        (
            run._replace(closing=True)
            for run in table.runs_in(command.runs)
            if not run.closing and run.upstream and not is_orphaned(_holding_of(run))
        ),
    )


def close_slots(table: SlotTable, slots: Iterable[int], index: int) -> int:
    """Mark those of the slots as closing that are not closing yet."""
    return _write_runs(
        table,
        index,
        (
            run._replace(closing=True)
            for run in table.runs_in(ranges_of(slots))
            if not run.closing
        ),
    )


def release(table: SlotTable, command: SlotsReleased, index: int) -> int:
    """Remove the owner of closing slots whose requests have finished."""
    return _write_runs(
        table,
        index,
        (
            SlotRun(
                run.start,
                run.length,
                None,
                NO_SESSION,
                run.epoch,
                False,
                sources_for_next_owner(_holding_of(run), NO_SESSION),
            )
            for run in table.runs_in(command.runs)
            if run.closing
            and run.session == command.session
            and run.epoch <= command.epoch
        ),
    )


def journal_ready(table: SlotTable, command: JournalReady, index: int) -> int:
    """Clear the sources of slots whose owner has sealed them."""
    return _write_runs(
        table,
        index,
        (
            run._replace(sources=())
            for run in table.runs_in(command.slots)
            if run.sources
            and run.session == command.session
            and run.epoch == command.epoch
        ),
    )


def _write_runs(table: SlotTable, index: int, changed: Iterable[SlotRun]) -> int:
    # All runs are read before the first is written.
    runs = list(changed)
    table.assign(runs, index).unwrap()
    return sum(run.length for run in runs)


def release_journal(table: SlotTable, members: Members, index: int) -> int:
    """Clear the sources of slots whose journal records have lost their quorum.

    A member whose session is closed has lost its records, unless its host was
    only frozen. Slots whose records can still be read are left to their owner.
    """
    lost = {
        source for source in table.sessions() if members.has_lost_journal_quorum(source)
    }
    slots = table.slots_where(lambda holding: not lost.isdisjoint(holding.sources))
    return _write_runs(
        table,
        index,
        (run._replace(sources=()) for run in table.runs_in(ranges_of(slots))),
    )


def _holding_of(run: SlotRun) -> Holding:
    return Holding(run.upstream, run.session, run.closing, run.sources)
