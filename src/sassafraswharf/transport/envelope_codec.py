"""Size limits and decoding of envelopes, with or without a MAC."""

from __future__ import annotations

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import Envelope


SIZE_LIMIT_BYTES = {
    Channel.CONTROL: 1_048_576 + 1_024,
    Channel.LEASE: 1_200,
    Channel.JOURNAL: 4_194_304,
}

_DECODER = msgspec.msgpack.Decoder(Envelope)


def check_size(channel: Channel, data: bytes) -> Result[bytes, Failure]:
    """Return the bytes of a message, or 6002 when they exceed the size limit."""
    if is_too_large(channel, data):
        message = f"message of {len(data)} bytes exceeds the limit of the channel"
        return rejection(ResultCode.MESSAGE_TOO_LARGE, message)
    return Ok(data)


def is_too_large(channel: Channel, data: bytes) -> bool:
    """Return whether a message exceeds the size limit of its channel."""
    return len(data) > SIZE_LIMIT_BYTES[channel]


def decode_envelope(data: bytes) -> Result[Envelope, Failure]:
    """Return the envelope, or 6001 when the bytes can't be decoded."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return rejection(ResultCode.MESSAGE_MALFORMED, str(error))


def rejection(code: ResultCode, message: str) -> Err[Failure]:
    """Return an error result with the reason why a message was dropped."""
    return Err(Failure(code, message))
