"""Hashes keys to slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from sassafraswharf.identifiers import ServiceName


DEFAULT_SLOT_COUNT = 4_096
MAX_SLOT_COUNT = 65_536


def slot_of(service: ServiceName, key: str, slot_count: int) -> int:
    """Return the slot of a key, the same in every process.

    The hash is seeded by the service, so that a key that is hot in several
    services does not map to the same slot number in each of them.
    """
    seed = xxhash.xxh32_intdigest(service.encode())
    return xxhash.xxh64_intdigest(key.encode(), seed) % slot_count
