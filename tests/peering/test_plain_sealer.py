"""Envelopes without a key: malformed and misdirected messages are dropped."""

from __future__ import annotations

import pytest

from sassafraswharf.codes import ResultCode
from sassafraswharf.peering.plain_sealer import PlainSealer
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.envelope_codec import SIZE_LIMIT_BYTES


A = PlainSealer("10.0.0.1")
B = PlainSealer("10.0.0.2")


def sealed(body: bytes = b"body") -> bytes:
    return A.seal(Channel.CONTROL, MessageKind.CONSENSUS, "10.0.0.2", body).unwrap()


def test_a_message_is_opened_by_its_recipient_as_often_as_it_comes() -> None:
    """Guards against messages of a restarted host that are dropped as replays.

    Its clock may have gone backwards, so its start time must not be compared.
    """
    for _ in range(2):
        envelope = B.open(Channel.CONTROL, sealed()).unwrap()
        assert (envelope.sender, envelope.body) == ("10.0.0.1", b"body")


@pytest.mark.parametrize("data", [b"", b"\xc1", sealed()[:-1], b"x" * 100])
def test_what_is_no_envelope_is_dropped(data: bytes) -> None:
    """Guards against an exception on bytes that can't be read."""
    opened = B.open(Channel.CONTROL, data)
    assert opened.unwrap_err().code is ResultCode.MESSAGE_MALFORMED


def test_a_message_for_another_host_is_dropped() -> None:
    """Guards against a message that reaches an address which was used before."""
    assert A.open(Channel.CONTROL, sealed()).is_err()


def test_a_message_that_is_too_large_is_not_sent() -> None:
    """Guards against a snapshot that the receiver refuses again and again."""
    body = b"x" * SIZE_LIMIT_BYTES[Channel.CONTROL]
    refused = A.seal(Channel.CONTROL, MessageKind.CONSENSUS, "10.0.0.2", body)
    assert refused.unwrap_err().code is ResultCode.MESSAGE_TOO_LARGE
