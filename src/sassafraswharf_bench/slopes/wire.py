"""Sealed lease messages with integers as large as in a long-lived cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from sassafraswharf.identifiers import CellId
from sassafraswharf.identifiers import HostId
from sassafraswharf.identifiers import SessionId
from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseRenewal
from sassafraswharf.transport.authenticator import Authenticator
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.messages import encode


if TYPE_CHECKING:
    from sassafraswharf.transport.envelope import Envelope


HOST = "cairo-a-host-117"
LEADER = "cairo-a-host-101"
KEY = bytes(32)
INCARNATION = 1_764_800_000_000_000_000
SEQUENCE = 10**9
LOAD_BYTES = 64


def authenticator(name: str, incarnation: int = INCARNATION) -> Authenticator:
    """Return an authenticator that has already sent many messages."""
    created = Authenticator(name, KEY, incarnation)
    created.sequences = dict.fromkeys(Channel, SEQUENCE)
    return created


def seal_renewal(own: Authenticator, load_bytes: int = LOAD_BYTES) -> bytes:
    """Return the datagram of a host's renewal."""
    sequence = own.sequences[Channel.LEASE] + 1
    body = encode(renewal(sequence, load_bytes))
    sealed = own.seal(Channel.LEASE, MessageKind.LEASE_RENEWAL, LEADER, body)
    return sealed.unwrap()


def seal_ack(
    own: Authenticator, recipient: str, renewal_message: LeaseRenewal
) -> bytes:
    """Return the datagram of the leader's acknowledgement."""
    body = encode(acknowledgement(renewal_message))
    sealed = own.seal(Channel.LEASE, MessageKind.LEASE_ACK, recipient, body)
    return sealed.unwrap()


def unseal(own: Authenticator, datagram: bytes) -> Envelope:
    """Open a datagram; raise ValueError if authentication fails."""
    opened = own.open(Channel.LEASE, datagram)
    if isinstance(opened, Err):
        raise ValueError(str(opened.err_value))
    return opened.ok_value


def renewal(sequence: int, load_bytes: int = LOAD_BYTES) -> LeaseRenewal:
    """Return a renewal with a load report of ``load_bytes`` bytes."""
    return LeaseRenewal(
        HostId(HOST),
        CellId("cell-1"),
        SessionId(4_213_907),
        sequence,
        1_423_500,
        4_213_990,
        bytes(load_bytes),
    )


def acknowledgement(renewal_message: LeaseRenewal) -> LeaseAck:
    """Return the acknowledgement of a renewal."""
    return LeaseAck(
        renewal_message.session, renewal_message.sequence, 0.9, 12, 1_423_500, 4_213_990
    )
