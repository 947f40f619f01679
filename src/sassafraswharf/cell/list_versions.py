"""Versions of the lists in a delta, so that unchanged lists are left out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.cell.members import Members
    from sassafraswharf.quarantine.suspect_table import SuspectTable


_T = TypeVar("_T")


class ListVersions(NamedTuple):
    """The log index at which each list last changed, 0 if it never did.

    The end of a suspicion or conviction changes a list without a new version
    of the cell, so an index may be above the version.
    """

    sessions: int = 0
    upstreams: int = 0
    convictions: int = 0
    suspects: int = 0

    def after(
        self, members: Members, suspects: SuspectTable, index: int
    ) -> ListVersions:
        """Return the versions after the command at ``index`` was applied.

        This resets the change flags of the members and suspects.
        """
        changed = self
        if members.sessions.pop_changed():
            changed = changed._replace(sessions=index)
        if members.upstreams.pop_changed():
            changed = changed._replace(upstreams=index)
        # A crash moves suspects to the convictions, so both lists change together.
        if suspects.suspects.pop_changed():
            changed = changed._replace(convictions=index, suspects=index)
        return changed


def if_changed(
    values: Sequence[_T], changed: int, from_version: int
) -> tuple[_T, ...] | None:
    """Return the values if they changed after ``from_version``, else ``None``."""
    if from_version and changed <= from_version:
        return None
    return tuple(values)
