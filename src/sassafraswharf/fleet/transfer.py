"""Values of transfers that take several messages."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


PART_BYTES: Final = 24_576
"""Longest part of a transfer in one message. A link of 3.45 Mbit/s that is half in
use carries it in 0.12 s, well within the time for an answer."""
MIN_PART_BYTES: Final = 1_536
"""Shortest part that a receiver on a slow link asks for: about one packet."""


class Cursor(NamedTuple):
    """How far a receiver is; ``identity`` tells transfers apart."""

    identity: int
    received: int


class TransferPart(NamedTuple):
    """Consecutive bytes of a transfer of ``total`` bytes, from ``offset`` on.

    ``identity`` is a digest of the whole transfer.
    """

    identity: int
    total: int
    offset: int
    data: bytes
