"""Sends changes that a receiver lacks in parts of bounded size."""

from __future__ import annotations

import zlib

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import xxhash

from sassafraswharf.fleet.fleet_state import COMPRESSION_LEVEL
from sassafraswharf.fleet.transfer import MIN_PART_BYTES
from sassafraswharf.fleet.transfer import PART_BYTES
from sassafraswharf.fleet.transfer import TransferPart


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.fleet.transfer import Cursor


MAX_CACHED_BYTES: Final = 8_388_608
MAX_CACHED_TRANSFERS: Final = 128


class Transfer(NamedTuple):
    """Compressed changes from one version to another."""

    base: int
    target: int
    identity: int
    content: bytes


class PartSender:
    """Sends each receiver the part that follows what it has received.

    A receiver identifies its transfer and resumes it after a lost connection or a
    newer version, until the transfer is complete. So each message that arrives is
    progress, regardless of the size of the transfer. Transfers are compressed once
    for all receivers with the same version and cached up to ``MAX_CACHED_BYTES``;
    one that was evicted, or that another sender started, is restarted. Receivers
    with different versions can need the same bytes, the whole state, so a digest
    alone doesn't identify a transfer.
    """

    def __init__(self, changes_since: Callable[[int], bytes]) -> None:
        """Send what ``changes_since`` returns for the version of a receiver."""
        self.changes_since = changes_since
        self.cached: OrderedDict[tuple[int, int], Transfer] = OrderedDict()
        self.by_cursor: dict[tuple[int, int], Transfer] = {}
        self.cached_bytes = 0

    def part_for(
        self, base: int, target: int, cursor: Cursor | None, limit: int = PART_BYTES
    ) -> TransferPart:
        """Return the next part of the transfer from version ``base`` to ``target``.

        It has at most ``limit`` bytes, clamped to the limits for all receivers.
        """
        transfer = self.by_cursor.get((base, cursor.identity)) if cursor else None
        offset = cursor.received if cursor else 0
        if transfer is None or offset > len(transfer.content):
            transfer = self.get_or_create(base, target)
            offset = 0
        else:
            # An active transfer is not evicted by the many that new versions start.
            self.cached.move_to_end((transfer.base, transfer.target))
        size = min(max(limit, MIN_PART_BYTES), PART_BYTES)
        data = transfer.content[offset : offset + size]
        return TransferPart(transfer.identity, len(transfer.content), offset, data)

    def get_or_create(self, base: int, target: int) -> Transfer:
        """Return the transfer between two versions, from the cache if possible."""
        place = (base, target)
        known = self.cached.get(place)
        if known is not None:
            self.cached.move_to_end(place)
            return known
        content = zlib.compress(self.changes_since(base), COMPRESSION_LEVEL)
        identity = xxhash.xxh3_64_intdigest(content)
        transfer = Transfer(base, target, identity, content)
        self.cached[place] = self.by_cursor[base, identity] = transfer
        self.cached_bytes += len(content)
        self.evict_oldest()
        return transfer

    def evict_oldest(self) -> None:
        """Evict the oldest transfers down to the limits, but keep the newest."""
        while len(self.cached) > 1 and (
            self.cached_bytes > MAX_CACHED_BYTES
            or len(self.cached) > MAX_CACHED_TRANSFERS
        ):
            _, oldest = self.cached.popitem(last=False)
            self.cached_bytes -= len(oldest.content)
            place = (oldest.base, oldest.identity)
            if self.by_cursor.get(place) is oldest:
                del self.by_cursor[place]

    def clear(self) -> None:
        """Drop all transfers; versions of another term may have other content."""
        self.cached.clear()
        self.by_cursor.clear()
        self.cached_bytes = 0
