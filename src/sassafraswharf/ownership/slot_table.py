"""The slots of one service and their owners, in compact arrays."""

from __future__ import annotations

import itertools

from array import array
from collections import Counter
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import SessionId
from sassafraswharf.ownership.hashing import slot_of
from sassafraswharf.ownership.values import Holding
from sassafraswharf.ownership.values import Ownership
from sassafraswharf.ownership.values import PackedRun
from sassafraswharf.ownership.values import PackedTable
from sassafraswharf.ownership.values import SlotRange
from sassafraswharf.ownership.values import SlotRun
from sassafraswharf.ownership.values import TableDelta


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from result import Result

    from sassafraswharf.identifiers import ServiceName


BLOCK_SLOTS = 256
UNASSIGNED = Holding(None, SessionId(0), False, ())


def ranges_of(slots: Iterable[int]) -> tuple[SlotRange, ...]:
    """Compress slots into ranges in ascending order.

    >>> ranges_of([7, 3, 4])
    (SlotRange(start=3, length=2), SlotRange(start=7, length=1))
    """
    ranges: list[SlotRange] = []
    for slot in sorted(slots):
        last = ranges[-1] if ranges else None
        if last is not None and last.start + last.length == slot:
            ranges[-1] = SlotRange(last.start, last.length + 1)
        else:
            ranges.append(SlotRange(slot, 1))
    return tuple(ranges)


class SlotTable:
    """Owner, epoch and version of the last change of each slot.

    A slot takes 20 bytes: the index of its interned holding, its epoch and the
    version of its last change. A delta is computed from these versions without a
    stored history. The latest version per block of 256 slots lets it skip blocks
    without changes.
    """

    def __init__(self, service: ServiceName, slot_count: int) -> None:
        self.service = service
        self.slot_count = slot_count
        self.version = 0
        self._holdings: list[Holding] = [UNASSIGNED]
        self._numbers: dict[Holding, int] = {UNASSIGNED: 0}
        self._use_counts: list[int] = [slot_count]
        self._free: list[int] = []
        self._holding = array("I", bytes(4 * slot_count))
        self._epoch = array("Q", bytes(8 * slot_count))
        self._changed = array("Q", bytes(8 * slot_count))
        blocks = -(-slot_count // BLOCK_SLOTS)
        self._block_changed = array("Q", bytes(8 * blocks))

    def owner_of(self, key: str) -> Ownership:
        """Return the owner of the slot of a key."""
        return self.at(slot_of(self.service, key, self.slot_count))

    def at(self, slot: int) -> Ownership:
        """Return the owner of a slot."""
        holding = self._holdings[self._holding[slot]]
        return Ownership(
            slot,
            holding.upstream,
            holding.session,
            self._epoch[slot],
            holding.closing,
            holding.sources,
        )

    def holding(self, slot: int) -> Holding:
        """Return the owner and state of a slot, without its epoch."""
        return self._holdings[self._holding[slot]]

    def epoch(self, slot: int) -> int:
        """Return the epoch of a slot, 0 if it was never assigned."""
        return self._epoch[slot]

    def holdings(self) -> list[tuple[Holding, int]]:
        """Return each holding in use and the number of its slots."""
        return [
            (holding, uses)
            for holding, uses in zip(self._holdings, self._use_counts, strict=True)
            if uses
        ]

    def slots_where(self, accept: Callable[[Holding], bool]) -> list[int]:
        """Return the slots whose holding is accepted, in ascending order.

        The arrays are read only if some holding is accepted.
        """
        wanted = {
            number
            for number, holding in enumerate(self._holdings)
            if self._use_counts[number] and accept(holding)
        }
        if not wanted:
            return []
        return [slot for slot, number in enumerate(self._holding) if number in wanted]

    def sessions(self) -> set[SessionId]:
        """Return the sessions that own slots or are named in sources."""
        found: set[SessionId] = set()
        for holding, _ in self.holdings():
            found.add(holding.session)
            found.update(holding.sources)
        return found

    def covers(self, start: int, length: int) -> bool:
        """Return whether the range is not empty and is inside the table."""
        return start >= 0 and 0 < length <= self.slot_count - start

    def assign(self, runs: Sequence[SlotRun], version: int) -> Result[None, Failure]:
        """Write runs as of ``version`` atomically: all or none.

        A slot accepts a higher epoch. With an equal epoch it accepts a change
        of state of the same owner (closing, sources) or its release, but not
        the end of closing. Everything else is refused with code 4003.
        """
        for run in runs:
            if not self.covers(run.start, run.length):
                return Err(_out_of_range(run))
            if not self._accepts(run):
                return Err(_stale(run))
        self._write(runs, version)
        return Ok(None)

    def runs(self) -> list[SlotRun]:
        """Return all slots as runs, including those without an owner."""
        return list(self._compress(range(self.slot_count)))

    def changed_since(self, version: int) -> Iterator[int]:
        """Return the slots that changed after ``version``, ascending."""
        changed = self._changed
        for block, newest in enumerate(self._block_changed):
            if newest <= version:
                continue
            start = block * BLOCK_SLOTS
            end = min(start + BLOCK_SLOTS, self.slot_count)
            for slot in range(start, end):
                if changed[slot] > version:
                    yield slot

    def delta_since(self, version: int, to_version: int | None = None) -> TableDelta:
        """Return the slots that changed after ``version``.

        ``to_version`` is the version of the cell when it is newer than the
        last change of this table.
        """
        return TableDelta(
            self.service,
            version,
            self.version if to_version is None else to_version,
            self.slot_count,
            tuple(self._compress(self.changed_since(version))),
        )

    def apply(self, delta: TableDelta) -> Result[None, Failure]:
        """Apply a delta; one that starts after this version fails with code 4005.

        A delta that ends at or before this version changes nothing.
        """
        if delta.from_version > self.version or delta.slot_count != self.slot_count:
            message = f"delta from {delta.from_version}, table at {self.version}"
            return Err(Failure(ResultCode.STALE_TABLE_VERSION, message))
        if delta.to_version <= self.version:
            return Ok(None)
        for run in delta.runs:
            if not self.covers(run.start, run.length):
                return Err(_out_of_range(run))
            if max(self._epoch[run.start : run.start + run.length]) > run.epoch:
                return Err(_stale(run))
        self._write(delta.runs, delta.to_version)
        return Ok(None)

    def pack(self) -> PackedTable:
        """Return a canonical value of the table, independent of its history."""
        numbers: dict[int, int] = {}
        runs: list[PackedRun] = []
        rows = zip(self._holding, self._epoch, self._changed, strict=True)
        previous: tuple[int, int, int] | None = None
        length = 0
        for row in rows:
            if row != previous:
                _add_run(runs, numbers, previous, length)
                previous, length = row, 0
            length += 1
        _add_run(runs, numbers, previous, length)
        holdings = tuple(self._holdings[number] for number in numbers)
        return PackedTable(
            self.service, self.slot_count, self.version, holdings, tuple(runs)
        )

    @classmethod
    def unpack(cls, packed: PackedTable) -> SlotTable:
        """Return the table that was packed."""
        table = cls(packed.service, packed.slot_count)
        start = 0
        for run in packed.runs:
            number = table._intern(packed.holdings[run.holding])
            table._set(start, run.length, number, run.epoch, run.changed)
            start += run.length
        table.version = packed.version
        return table

    def runs_in(self, ranges: Iterable[SlotRange]) -> Iterator[SlotRun]:
        """Return these slots as runs; ranges outside the table are skipped."""
        for part in ranges:
            if not self.covers(part.start, part.length):
                continue
            start, end = part.start, part.start + part.length
            rows = zip(self._holding[start:end], self._epoch[start:end], strict=True)
            for (number, epoch), same in itertools.groupby(rows):
                length = sum(1 for _ in same)
                yield self._run(start, length, number, epoch)
                start += length

    def _accepts(self, run: SlotRun) -> bool:
        end = run.start + run.length
        epochs = self._epoch[run.start : end]
        newest = max(epochs)
        if newest != run.epoch:
            return newest < run.epoch
        rows = set(zip(self._holding[run.start : end], epochs, strict=True))
        return all(
            epoch < run.epoch or self._is_valid_transition(self._holdings[number], run)
            for number, epoch in rows
        )

    def _is_valid_transition(self, holding: Holding, run: SlotRun) -> bool:
        if run.upstream is None:
            return True
        same_owner = (holding.upstream, holding.session) == (run.upstream, run.session)
        return same_owner and run.closing >= holding.closing

    def _write(self, runs: Sequence[SlotRun], version: int) -> None:
        for run in runs:
            number = self._intern(
                Holding(run.upstream, run.session, run.closing, run.sources)
            )
            self._set(run.start, run.length, number, run.epoch, version)
        self.version = max(self.version, version)

    def _set(
        self, start: int, length: int, number: int, epoch: int, version: int
    ) -> None:
        end = start + length
        self._use_counts[number] += length
        for old, uses in Counter(self._holding[start:end]).items():
            self._use_counts[old] -= uses
            if not self._use_counts[old] and old:
                del self._numbers[self._holdings[old]]
                self._free.append(old)
        self._holding[start:end] = array("I", (number,)) * length
        self._epoch[start:end] = array("Q", (epoch,)) * length
        self._changed[start:end] = array("Q", (version,)) * length
        for block in range(start // BLOCK_SLOTS, (end - 1) // BLOCK_SLOTS + 1):
            if version > self._block_changed[block]:
                self._block_changed[block] = version

    def _intern(self, holding: Holding) -> int:
        number = self._numbers.get(holding)
        if number is not None:
            return number
        if self._free:
            number = self._free.pop()
            self._holdings[number] = holding
        else:
            number = len(self._holdings)
            self._holdings.append(holding)
            self._use_counts.append(0)
        self._numbers[holding] = number
        return number

    def _compress(self, slots: Iterable[int]) -> Iterator[SlotRun]:
        start = length = number = epoch = -1
        for slot in slots:
            row = self._holding[slot], self._epoch[slot]
            if slot == start + length and row == (number, epoch):
                length += 1
                continue
            if start >= 0:
                yield self._run(start, length, number, epoch)
            start, length = slot, 1
            number, epoch = row
        if start >= 0:
            yield self._run(start, length, number, epoch)

    def _run(self, start: int, length: int, number: int, epoch: int) -> SlotRun:
        holding = self._holdings[number]
        return SlotRun(
            start,
            length,
            holding.upstream,
            holding.session,
            epoch,
            holding.closing,
            holding.sources,
        )


def _add_run(
    runs: list[PackedRun],
    numbers: dict[int, int],
    row: tuple[int, int, int] | None,
    length: int,
) -> None:
    if row is None:
        return
    holding, epoch, changed = row
    number = numbers.setdefault(holding, len(numbers))
    runs.append(PackedRun(length, number, epoch, changed))


def _out_of_range(run: SlotRun) -> Failure:
    message = f"slots {run.start}+{run.length} are outside the table"
    return Failure(ResultCode.MESSAGE_MALFORMED, message)


def _stale(run: SlotRun) -> Failure:
    message = f"slots {run.start}+{run.length} have a newer epoch than {run.epoch}"
    return Failure(ResultCode.STALE_EPOCH, message)
