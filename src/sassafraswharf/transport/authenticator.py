"""Authentication of messages with the shared key of the deployment."""

from __future__ import annotations

import hmac

from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.transport.envelope import PROTOCOL_VERSION
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import Envelope
from sassafraswharf.transport.envelope_codec import check_size
from sassafraswharf.transport.envelope_codec import decode_envelope
from sassafraswharf.transport.envelope_codec import is_too_large
from sassafraswharf.transport.envelope_codec import rejection


if TYPE_CHECKING:
    from result import Result

    from sassafraswharf.failure import Failure
    from sassafraswharf.transport.envelope import MessageKind


MAC_BYTES = 16
MINIMUM_KEY_BYTES = 16
MAXIMUM_KEY_BYTES = 64
MAXIMUM_SENDERS = 16_384


class Authenticator:
    """Seals outgoing envelopes and opens incoming ones.

    A message is its MessagePack encoding followed by a keyed BLAKE2b MAC of 16
    bytes. An incoming message is accepted if its MAC is valid, it is addressed
    to this process, and its incarnation and sequence are newer than those of
    the last accepted message of the same sender and channel. Datagrams that
    overtake each other are therefore dropped like replays; lease messages
    tolerate this, because the next renewal supersedes them.
    """

    def __init__(self, name: str, key: bytes, incarnation: int) -> None:
        """Start without any recorded sequence numbers.

        ``incarnation`` must be greater than that of every earlier process with
        the same name, for example the wall-clock time in nanoseconds.
        """
        self.name = name
        self.incarnation = incarnation
        self.key = key
        self.sequences = dict.fromkeys(Channel, 0)
        self.seen: dict[tuple[str, Channel], tuple[int, int]] = {}
        self.encoder = msgspec.msgpack.Encoder()

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
        self.sequences[channel] += 1
        data = self.encoder.encode(
            Envelope(
                PROTOCOL_VERSION,
                channel,
                kind,
                self.name,
                recipient,
                self.incarnation,
                self.sequences[channel],
                correlation,
                reply_address,
                body,
            )
        )
        return check_size(channel, data + self.mac(data))

    def open(self, channel: Channel, data: bytes) -> Result[Envelope, Failure]:
        """Return the envelope, or 6001 to 6004 with the reason for dropping it."""
        if is_too_large(channel, data):
            return rejection(ResultCode.MESSAGE_TOO_LARGE, "message is too large")
        payload, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not hmac.compare_digest(self.mac(payload), mac):
            return rejection(ResultCode.MESSAGE_UNAUTHENTICATED, "wrong MAC")
        decoded = decode_envelope(payload)
        if isinstance(decoded, Err):
            return decoded
        return self.accept(channel, decoded.ok_value)

    def accept(self, channel: Channel, envelope: Envelope) -> Result[Envelope, Failure]:
        """Check version, channel, recipient and freshness of an envelope."""
        if envelope.version != PROTOCOL_VERSION or envelope.channel != channel:
            return rejection(
                ResultCode.MESSAGE_MALFORMED,
                f"version {envelope.version} on channel {envelope.channel}",
            )
        if envelope.recipient != self.name:
            return rejection(
                ResultCode.MESSAGE_UNAUTHENTICATED,
                f"message for {envelope.recipient!r} reached {self.name!r}",
            )
        source = (envelope.sender, channel)
        position = (envelope.incarnation, envelope.sequence)
        if position <= self.seen.get(source, (0, 0)):
            return rejection(
                ResultCode.MESSAGE_REPLAYED, f"old message of {envelope.sender!r}"
            )
        if source not in self.seen and len(self.seen) >= MAXIMUM_SENDERS:
            return rejection(ResultCode.MESSAGE_UNAUTHENTICATED, "too many senders")
        self.seen[source] = position
        return Ok(envelope)

    def mac(self, data: bytes) -> bytes:
        """Return the keyed BLAKE2b MAC of ``data``."""
        return blake2b(data, digest_size=MAC_BYTES, key=self.key).digest()
