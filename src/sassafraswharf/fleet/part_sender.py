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
    """Answers each receiver with the part that follows what it has.

    What was received counts although the connection was lost or a newer version
    has come since: the receiver names its transfer, and goes on with it to its end.
    So a receiver makes progress with each message that arrives, however long the
    whole is. Transfers are compressed once for all receivers with the same version
    and kept up to ``MAX_CACHED_BYTES``; one that is no longer kept, or that another
    sender began, is begun anew. Receivers with other versions can lack the same
    bytes, the whole state, so a digest alone doesn't tell their transfers apart.
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
        """Return the next part on the way from version ``base`` to ``target``.

        It has at most ``limit`` bytes, within the bounds for all receivers.
        """
        transfer = self.by_cursor.get((base, cursor.identity)) if cursor else None
        offset = cursor.received if cursor else 0
        if transfer is None or offset > len(transfer.content):
            transfer = self.get_or_create(base, target)
            offset = 0
        else:
            # One in use outlives the many short ones that new versions begin.
            self.cached.move_to_end((transfer.base, transfer.target))
        size = min(max(limit, MIN_PART_BYTES), PART_BYTES)
        data = transfer.content[offset : offset + size]
        return TransferPart(transfer.identity, len(transfer.content), offset, data)

    def get_or_create(self, base: int, target: int) -> Transfer:
        """Return the transfer between two versions, and keep it."""
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
        """Keep the bounds, but always the newest transfer."""
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
        """Forget all transfers, because versions mean something else from now on."""
        self.cached.clear()
        self.by_cursor.clear()
        self.cached_bytes = 0
