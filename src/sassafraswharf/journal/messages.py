"""Messages between members of journal sets, and their codec.

A batch carries many records and seals to one member and is answered by one
reply, as the body and answer of an HTTP request between routers. msgspec reads
the annotations at run time, so their names are imported at run time as well.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeVar

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import ServiceName  # noqa: TC001
from sassafraswharf.identifiers import SessionId  # noqa: TC001
from sassafraswharf.journal.intent import Record  # noqa: TC001


MAX_MESSAGE_BYTES = 32 * 1024 * 1024


class AgedRecord(NamedTuple):
    """A record and its age, since instants of two hosts can't be compared."""

    record: Record
    age_s: float


class Seal(NamedTuple):
    """A request to fence older epochs of some slots and return their records.

    ``source`` and ``generation`` name the journal set to which ``member``
    belongs, from a table that is at least as new as ``epoch``.
    """

    service: ServiceName
    runs: tuple[tuple[int, int], ...]
    epoch: int
    source: SessionId
    generation: int
    member: SessionId


class SealReply(NamedTuple):
    """The records of sealed slots.

    ``complete`` says whether the member held all records of the journal set that it
    should hold, and so counts towards the read quorum. Records of an incomplete
    member are still used.
    """

    code: int
    complete: bool
    records: tuple[AgedRecord, ...]


class JournalBatch(NamedTuple):
    """Records of one owner, and seals, for one member.

    ``complete`` says that with this batch the member holds all records of the
    owner, so that it counts towards quorums of the generation from then on.
    """

    owner: SessionId
    member: SessionId
    generation: int
    complete: bool
    records: tuple[AgedRecord, ...]
    seals: tuple[Seal, ...]


class JournalReply(NamedTuple):
    """The result codes of the records and the replies to the seals, in order."""

    codes: tuple[int, ...]
    seals: tuple[SealReply, ...]


_T = TypeVar("_T", JournalBatch, JournalReply)
_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(JournalBatch)
_reply_decoder = msgspec.msgpack.Decoder(JournalReply)


def encode(message: JournalBatch | JournalReply) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_batch(data: bytes) -> Result[JournalBatch, Failure]:
    """Return the batch, or 6001 or 6002 for damaged or oversized input."""
    return _decode(_batch_decoder, data)


def decode_reply(data: bytes) -> Result[JournalReply, Failure]:
    """Return the reply, or 6001 or 6002 for damaged or oversized input."""
    return _decode(_reply_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[_T], data: bytes) -> Result[_T, Failure]:
    if len(data) > MAX_MESSAGE_BYTES:
        return Err(Failure(ResultCode.MESSAGE_TOO_LARGE, f"{len(data)} bytes"))
    try:
        return Ok(decoder.decode(data))
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        return Err(Failure(ResultCode.MESSAGE_MALFORMED, str(error)))
