"""Interface between a mailbox and the code that wraps its messages in envelopes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from sassafraswharf.failure import Failure
    from sassafraswharf.transport.envelope import Channel
    from sassafraswharf.transport.envelope import Envelope
    from sassafraswharf.transport.envelope import MessageKind


class Sealer(Protocol):
    """Wraps outgoing messages in envelopes and opens incoming ones."""

    def seal(
        self,
        channel: Channel,
        kind: MessageKind,
        recipient: str,
        body: bytes,
        correlation: int = 0,
        reply_address: str = "",
    ) -> Result[bytes, Failure]:
        """Return the bytes to send, or the reason why they can't be sent."""

    def open(self, channel: Channel, data: bytes) -> Result[Envelope, Failure]:
        """Return the envelope, or the reason for dropping the message."""
