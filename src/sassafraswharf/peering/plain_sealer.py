"""Envelopes without authentication, for networks whose processes share no key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.transport.envelope import PROTOCOL_VERSION
from sassafraswharf.transport.envelope import Envelope
from sassafraswharf.transport.envelope_codec import check_size
from sassafraswharf.transport.envelope_codec import decode_envelope
from sassafraswharf.transport.envelope_codec import is_too_large
from sassafraswharf.transport.envelope_codec import rejection


if TYPE_CHECKING:
    from result import Result

    from sassafraswharf.failure import Failure
    from sassafraswharf.transport.envelope import Channel
    from sassafraswharf.transport.envelope import MessageKind


class PlainSealer:
    """Wraps messages without a MAC and without replay protection.

    The replicated log tolerates repeated and reordered messages. Anyone who can
    reach the port can forge one, so this sealer is only for networks that restrict
    access to it.
    """

    def __init__(self, name: str) -> None:
        """Seal as ``name`` and accept what is addressed to it."""
        self.name = name

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
        return check_size(channel, data)

    def open(self, channel: Channel, data: bytes) -> Result[Envelope, Failure]:
        """Return the envelope, or 6001 or 6002 for dropping the message."""
        if is_too_large(channel, data):
            return rejection(ResultCode.MESSAGE_TOO_LARGE, "message is too large")
        decoded = decode_envelope(data)
        if isinstance(decoded, Err):
            return decoded
        envelope = decoded.ok_value
        if envelope.version != PROTOCOL_VERSION or envelope.recipient != self.name:
            message = f"version {envelope.version} for {envelope.recipient!r}"
            return rejection(ResultCode.MESSAGE_MALFORMED, message)
        return Ok(envelope)
