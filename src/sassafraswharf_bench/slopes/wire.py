"""Stand-ins for the messages of sections 4.3 to 4.5 and 4.11 of the design.

The fields and the encoding are those of the design; the product's own modules
take their place once they exist.
"""

from __future__ import annotations

import hashlib

from typing import NamedTuple

import msgspec


MAC_BYTES = 16
KEY = bytes(32)
LOAD_BYTES = 64


class Envelope(NamedTuple):
    """The authenticated frame around a message."""

    version: int
    kind: int
    sender: str
    incarnation: int
    sequence: int
    correlation: int
    body: bytes


class LeaseRenewal(NamedTuple):
    """A host's renewal of its lease."""

    host: str
    session: int
    sequence: int
    configuration_revision: int
    table_version: int
    load: bytes


class LeaseAck(NamedTuple):
    """The leader's answer to a renewal."""

    session: int
    sequence: int
    term_s: float
    leader_term: int
    configuration_revision: int
    table_version: int


ENVELOPE = msgspec.msgpack.Decoder(Envelope)
RENEWAL = msgspec.msgpack.Decoder(LeaseRenewal)
ACK = msgspec.msgpack.Decoder(LeaseAck)
ENCODER = msgspec.msgpack.Encoder()


def seal(sender: str, sequence: int, body: NamedTuple) -> bytes:
    """Return the datagram that carries the body: MAC, then envelope."""
    frame = ENCODER.encode(
        Envelope(
            1, 2, sender, 1_764_800_000_000, sequence, sequence, ENCODER.encode(body)
        )
    )
    return hashlib.blake2b(frame, key=KEY, digest_size=MAC_BYTES).digest() + frame


def unseal(datagram: bytes) -> Envelope:
    """Return the envelope; raise ValueError if the MAC doesn't fit."""
    frame = datagram[MAC_BYTES:]
    mac = hashlib.blake2b(frame, key=KEY, digest_size=MAC_BYTES).digest()
    if mac != datagram[:MAC_BYTES]:
        raise ValueError("the MAC does not fit the frame")
    return ENVELOPE.decode(frame)


def renewal(sequence: int, load_bytes: int = LOAD_BYTES) -> LeaseRenewal:
    """Return a renewal with values of the size that a long-lived cell has."""
    return LeaseRenewal(
        "cairo-a-host-117", 4_213_907, sequence, 1_423_500, 4_213_990, bytes(load_bytes)
    )


def acknowledgement(of: LeaseRenewal) -> LeaseAck:
    """Return the acknowledgement of a renewal."""
    return LeaseAck(of.session, of.sequence, 0.9, 12, 1_423_500, 4_213_990)
