"""Reassembles a transfer from its parts."""

from __future__ import annotations

import zlib

from typing import TYPE_CHECKING
from typing import Final

import xxhash

from result import Err
from result import Ok
from result import Result

from sassafraswharf.fleet.transfer import Cursor


if TYPE_CHECKING:
    from sassafraswharf.fleet.transfer import TransferPart


MAX_TRANSFER_BYTES: Final = 67_108_864


class PartReceiver:
    """Reassembles one transfer at a time; parts may be lost or duplicated.

    >>> from sassafraswharf.fleet.part_sender import PartSender
    >>> sender, receiver = PartSender(lambda _: b"changes"), PartReceiver()
    >>> receiver.take(sender.part_for(3, 4, receiver.cursor))
    Ok(b'changes')
    """

    def __init__(self) -> None:
        """Start without a transfer."""
        self.identity = 0
        self.received = bytearray()

    @property
    def cursor(self) -> Cursor | None:
        """Return the progress of the current transfer, ``None`` if there is none."""
        if not self.received:
            return None
        return Cursor(self.identity, len(self.received))

    def add_part(self, part: TransferPart) -> Result[bytes | None, str]:
        """Add a part; return the content once it is complete, ``None`` before.

        A part that doesn't follow the received bytes is ignored, unless it starts
        another transfer. The error says why a transfer can't be decoded; the
        transfer is dropped, and the next report restarts it.
        """
        if part.identity != self.identity or not self.received:
            if part.offset:
                return Ok(None)
            self.reset()
            self.identity = part.identity
        if part.offset != len(self.received):
            return Ok(None)
        if part.total > MAX_TRANSFER_BYTES:
            self.reset()
            return Err(f"a transfer of {part.total} bytes is too long")
        self.received += part.data
        if len(self.received) < part.total:
            return Ok(None)
        content = bytes(self.received)
        self.reset()
        if xxhash.xxh3_64_intdigest(content) != part.identity:
            return Err("the parts of a transfer don't fit together")
        return decompress(content)

    def reset(self) -> None:
        """Drop the current transfer."""
        self.identity = 0
        self.received = bytearray()


def decompress(content: bytes) -> Result[bytes | None, str]:
    """Return the decompressed content of at most ``MAX_TRANSFER_BYTES``."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, MAX_TRANSFER_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not decompressor.eof:
        return Err(f"a transfer is cut short or has over {MAX_TRANSFER_BYTES} bytes")
    return Ok(data)
