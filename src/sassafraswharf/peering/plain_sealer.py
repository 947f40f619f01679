"""Envelopes for networks on which processes share no key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.transport.authenticator import SIZE_LIMIT_BYTES
from sassafraswharf.transport.envelope import PROTOCOL_VERSION
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import Envelope


if TYPE_CHECKING:
    from result import Result

    from sassafraswharf.transport.envelope import MessageKind


class PlainSealer:
    """Wraps messages without a MAC and without memory of replays.

    The replicated log tolerates repeated and reordered messages. Whoever can
    reach the port can forge one, so this sealer is only for networks that keep
    others away from it.
    """

    def __init__(self, name: str) -> None:
        """Seal as ``name`` and accept what is addressed to it."""
        self.name = name
        self.decoder = msgspec.msgpack.Decoder(Envelope)

    def seal(
        self,
        channel: Channel,
        kind: MessageKind,
        recipient: str,
        body: bytes,
        correlation: int = 0,
        reply_address: str = "",
    ) -> Result[bytes, Failure]:
        """Return the bytes to send, or 6002 when they exceed the size limit."""
        data = msgspec.msgpack.encode(
            Envelope(
                PROTOCOL_VERSION,
                channel,
                kind,
                self.name,
                recipient,
                0,
                0,
                correlation,
                reply_address,
                body,
            )
        )
        if len(data) > SIZE_LIMIT_BYTES[channel]:
            message = f"message of {len(data)} bytes exceeds the limit of the channel"
            return Err(Failure(ResultCode.MESSAGE_TOO_LARGE, message))
        return Ok(data)

    def open(self, channel: Channel, data: bytes) -> Result[Envelope, Failure]:
        """Return the envelope, or 6001 or 6002 for dropping the message."""
        if len(data) > SIZE_LIMIT_BYTES[channel]:
            return Err(Failure(ResultCode.MESSAGE_TOO_LARGE, "message is too large"))
        try:
            envelope = self.decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Err(Failure(ResultCode.MESSAGE_MALFORMED, str(error)))
        if envelope.version != PROTOCOL_VERSION or envelope.recipient != self.name:
            message = f"version {envelope.version} for {envelope.recipient!r}"
            return Err(Failure(ResultCode.MESSAGE_MALFORMED, message))
        return Ok(envelope)
