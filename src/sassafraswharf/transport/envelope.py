"""The envelope around every message between the system's processes."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


PROTOCOL_VERSION = 1


class Channel(IntEnum):
    """The carrier of a message; each has its own sequence numbers."""

    CONTROL = 0
    LEASE = 1
    JOURNAL = 2


class MessageKind(IntEnum):
    """What the body of an envelope holds."""

    REPLY = 1
    CONSENSUS = 2
    PROPOSAL = 3
    CELL_PULL = 4
    CONFIGURATION_PULL = 5
    LEASE_RENEWAL = 6
    LEASE_ACK = 7
    LEASE_REFUSAL = 8
    TABLE_CHANGED = 9
    JOURNAL = 10


class Envelope(NamedTuple):
    """A message body with the metadata that its receiver needs to validate it.

    ``incarnation`` is the start time of the sending process and ``sequence``
    grows with every message of that process on one channel; together they let
    the receiver drop replays. ``correlation`` connects a reply to its request
    and is 0 where no reply is expected.
    """

    version: int
    channel: Channel
    kind: MessageKind
    sender: str
    recipient: str
    incarnation: int
    sequence: int
    correlation: int
    reply_address: str
    body: bytes
