"""Messages and limits of transfers that are sent in several parts."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


PART_BYTES: Final = 24_576
"""Largest part of a transfer in one message. A link of 3.45 Mbit/s at half load
carries it in 0.12 s, well within the timeout of a reply."""
MIN_PART_BYTES: Final = 1_536
"""Smallest part that a receiver on a slow link requests: about one packet."""


class Cursor(NamedTuple):
    """The progress of a receiver in the transfer with this ``identity``."""

    identity: int
    received: int


class TransferPart(NamedTuple):
    """Consecutive bytes of a transfer of ``total`` bytes, starting at ``offset``.

    ``identity`` is a digest of the whole transfer.
    """

    identity: int
    total: int
    offset: int
    data: bytes
