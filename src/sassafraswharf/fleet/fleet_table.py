"""The replicated table of upstreams and key owners."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from typing import TYPE_CHECKING

from sassafraswharf.fleet.values import KEY_COUNT
from sassafraswharf.fleet.values import NO_INSTANCE
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.fleet.values import Instance
    from sassafraswharf.fleet.values import Upstream


class FleetTable:
    """Upstreams and key rows, by service.

    The version is the log index of the newest change. Control hosts and routers
    apply the same changes and reach the same table.
    """

    def __init__(self) -> None:
        """Start empty with version 0."""
        self.version = 0
        self.upstreams: dict[Instance, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        self.rows: dict[str, tuple[KeyRow, ...]] = {}
        self.row_starts: dict[str, list[int]] = {}

    def apply(self, version: int, change: FleetChange) -> None:
        """Apply a change; one that is not newer than the table is ignored."""
        if version <= self.version:
            return
        self.version = version
        if change.is_whole:
            self.upstreams, self.by_service = {}, {}
            self.rows, self.row_starts = {}, {}
        for instance in change.removed:
            self.upstreams.pop(instance, None)
        for upstream in change.upstreams:
            self.upstreams[upstream.instance] = upstream
        if change.removed or change.upstreams:
            self.by_service = {}
            for upstream in self.upstreams.values():
                self.by_service.setdefault(upstream.service, []).append(upstream)
        for service, rows in change.rows:
            stamped = [set_log_index(row, version) for row in rows]
            merged = merge_rows(splice(self.rows.get(service, ()), stamped))
            self.rows[service] = merged
            self.row_starts[service] = [row.first for row in merged]

    def row_of(self, service: str, key: int) -> KeyRow | None:
        """Return the row that contains a key, ``None`` for a service without rows."""
        starts = self.row_starts.get(service)
        if not starts:
            return None
        return self.rows[service][bisect_right(starts, key) - 1]

    def rows_of(self, instance: Instance) -> list[KeyRow]:
        """Return the rows that an upstream owns, also those that are moving away."""
        upstream = self.upstreams.get(instance)
        if upstream is None:
            return []
        rows = self.rows.get(upstream.service, ())
        return [row for row in rows if row.owner == instance]

    def snapshot(self) -> FleetChange:
        """Return the whole table as one change."""
        rows = tuple(ServiceRows(*item) for item in self.rows.items())
        return FleetChange(tuple(self.upstreams.values()), (), rows, "", True)


def set_log_index(row: KeyRow, version: int) -> KeyRow:
    """Return a row whose new fence or release request has the log index."""
    if not row.fence:
        row = row._replace(fence=version)
    if row.is_moving and not row.release_requested_at_index:
        row = row._replace(release_requested_at_index=version)
    return row


def splice(rows: Sequence[KeyRow], changed: Sequence[KeyRow]) -> list[KeyRow]:
    """Return the rows with the changed ones in place of the same keys.

    Both are sorted; keys that the changed rows don't contain stay as they are.
    """
    spliced: list[KeyRow] = []
    rest = deque(rows)
    for new in changed:
        while rest and rest[0].first < new.first:
            row = rest.popleft()
            spliced.append(row._replace(last=min(row.last, new.first - 1)))
            if row.last >= new.first:
                rest.appendleft(row._replace(first=new.first))
        spliced.append(new)
        while rest and rest[0].last <= new.last:
            rest.popleft()
        if rest and rest[0].first <= new.last:
            rest[0] = rest[0]._replace(first=new.last + 1)
    spliced.extend(rest)
    return spliced


def changed_rows(
    before: Sequence[KeyRow], after: Sequence[KeyRow]
) -> tuple[KeyRow, ...]:
    """Return the rows of ``after`` that differ from ``before``.

    ``splice`` of ``before`` with these gives ``after``. Both cover all keys.
    """
    changed = []
    position = 0
    for row in after:
        while position < len(before) and before[position].last < row.first:
            position += 1
        known = before[position] if position < len(before) else None
        if known is None or known.last < row.last or known[2:] != row[2:]:
            changed.append(row)
    return tuple(changed)


def free_rows() -> tuple[KeyRow, ...]:
    """Return the rows of a service whose keys have no owner."""
    return (KeyRow(0, KEY_COUNT - 1, NO_INSTANCE, 0),)


def freed_rows(table: FleetTable, owners: set[Instance]) -> list[ServiceRows]:
    """Return the rows of these owners, changed to have none."""
    changed = []
    for service, rows in table.rows.items():
        if not any(row.owner in owners for row in rows):
            continue
        freed = tuple(
            KeyRow(row.first, row.last, NO_INSTANCE, 0) if row.owner in owners else row
            for row in rows
        )
        changed.append(ServiceRows(service, changed_rows(rows, freed)))
    return changed


def merge_rows(rows: list[KeyRow]) -> tuple[KeyRow, ...]:
    """Merge neighbours that differ only in their keys, to keep tables small."""
    merged: list[KeyRow] = []
    for row in rows:
        before = merged[-1] if merged else None
        if before is not None and before[2:] == row[2:] and row.fence:
            merged[-1] = before._replace(last=row.last)
        else:
            merged.append(row)
    return tuple(merged)
