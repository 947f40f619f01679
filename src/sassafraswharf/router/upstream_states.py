"""Compares the state of an upstream in the cell with its announcement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.cell.commands import AnnounceUpstream
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.slot_table import ranges_of


if TYPE_CHECKING:
    from sassafraswharf.membership.values import Upstream
    from sassafraswharf.ownership.slot_table import SlotTable


def is_same_process(left: Upstream, right: Upstream) -> bool:
    """Return whether both describe the same process at the same address."""
    return (left.incarnation, left.address, left.session) == (
        right.incarnation,
        right.address,
        right.session,
    )


def is_announced(known: Upstream, command: AnnounceUpstream) -> bool:
    """Return whether the cell has committed everything in the announcement."""
    if known.state in {UpstreamState.LOST, UpstreamState.GONE}:
        return known.incarnation >= command.incarnation
    return all(
        getattr(known, field) == getattr(command, field)
        for field in AnnounceUpstream._fields
        if field != "at"
    )


def is_drain_pending(known: Upstream, command: AnnounceUpstream) -> bool:
    """Return whether a new process must wait for the drain of its predecessor.

    The drain ends soon, because the old process is reported as lost. A new process
    that joined before would inherit the drain and be removed with it.
    """
    is_restart = command.incarnation > known.incarnation
    return is_restart and known.state == UpstreamState.DRAINING


def grant_runs(
    table: SlotTable, upstream: Upstream, session: int
) -> list[dict[str, object]]:
    """Return the slot runs that an upstream may serve, as JSON objects."""
    slots = table.slots_where(
        lambda holding: (
            holding.upstream == upstream.upstream and holding.session == session
        )
    )
    return [run._asdict() for run in table.runs_in(ranges_of(slots))]
