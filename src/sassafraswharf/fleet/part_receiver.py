"""Joins the parts of a transfer."""

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
    """One transfer at a time, of which any part may be lost or come twice.

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
        """Return how far the present transfer is, ``None`` if there is none."""
        if not self.received:
            return None
        return Cursor(self.identity, len(self.received))

    def add_part(self, part: TransferPart) -> Result[bytes | None, str]:
        """Add a part; return the content if it is whole, ``None`` if it isn't.

        A part that doesn't follow what was received is ignored, unless it begins
        another transfer. The error says why a whole transfer can't be read; it is
        dropped then, and the next report has it begun anew.
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
        """Forget the present transfer."""
        self.identity = 0
        self.received = bytearray()


def decompress(content: bytes) -> Result[bytes | None, str]:
    """Return what was compressed, up to ``MAX_TRANSFER_BYTES``."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, MAX_TRANSFER_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not decompressor.eof:
        return Err(f"a transfer is cut short or has over {MAX_TRANSFER_BYTES} bytes")
    return Ok(data)
