from __future__ import annotations

import pytest

from result import Err

from sassafraswharf.codes import ResultCode
from sassafraswharf.transport.authenticator import Authenticator
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.request_signer import REPLAY_WINDOW_SIZE
from sassafraswharf.transport.request_signer import RequestSigner


KEY = bytes(range(32))


def sealed(authenticator: Authenticator, recipient: str = "b") -> bytes:
    return authenticator.seal(
        Channel.LEASE, MessageKind.LEASE_RENEWAL, recipient, b"body"
    ).unwrap()


def test_damaged_message_is_dropped() -> None:
    """Guards against acting on, or failing on, bytes changed on the way."""
    receiver = Authenticator("b", KEY, 1)
    message = sealed(Authenticator("a", KEY, 1))
    for offset in range(len(message)):
        flipped = bytearray(message)
        flipped[offset] ^= 0x40
        assert isinstance(receiver.open(Channel.LEASE, bytes(flipped)), Err)
        assert isinstance(receiver.open(Channel.LEASE, message[:offset]), Err)
    assert receiver.open(Channel.LEASE, message).unwrap().body == b"body"


@pytest.mark.parametrize(
    ("sender", "key", "recipient", "channel", "code"),
    [
        ("a", bytes(32), "b", Channel.LEASE, ResultCode.MESSAGE_UNAUTHENTICATED),
        ("a", KEY, "c", Channel.LEASE, ResultCode.MESSAGE_UNAUTHENTICATED),
        ("a", KEY, "b", Channel.CONTROL, ResultCode.MESSAGE_MALFORMED),
    ],
)
def test_foreign_message_is_dropped(
    sender: str, key: bytes, recipient: str, channel: Channel, code: ResultCode
) -> None:
    """Guards against messages of another deployment, process or channel."""
    message = sealed(Authenticator(sender, key, 1), recipient)
    opened = Authenticator("b", KEY, 1).open(channel, message)
    assert opened.unwrap_err().code == code


@pytest.mark.parametrize(
    ("incarnations", "accepted"),
    [((1, 1), (True, True)), ((1, 2), (True, True)), ((2, 1), (True, False))],
)
def test_old_incarnation_is_dropped(
    incarnations: tuple[int, int], accepted: tuple[bool, bool]
) -> None:
    """Guards against replays of messages from before a restart."""
    receiver = Authenticator("b", KEY, 1)
    senders = {number: Authenticator("a", KEY, number) for number in incarnations}
    results = [
        receiver.open(Channel.LEASE, sealed(senders[number])).is_ok()
        for number in incarnations
    ]
    assert tuple(results) == accepted


def test_replayed_message_is_dropped() -> None:
    """Guards against a recorded lease message that is sent again."""
    receiver = Authenticator("b", KEY, 1)
    message = sealed(Authenticator("a", KEY, 1))
    assert receiver.open(Channel.LEASE, message).is_ok()
    replayed = receiver.open(Channel.LEASE, message)
    assert replayed.unwrap_err().code == ResultCode.MESSAGE_REPLAYED


def test_oversized_message_is_not_sealed() -> None:
    """Guards against datagrams that the network would fragment."""
    sent = Authenticator("a", KEY, 1).seal(
        Channel.LEASE, MessageKind.LEASE_RENEWAL, "b", bytes(1_200)
    )
    assert sent.unwrap_err().code == ResultCode.MESSAGE_TOO_LARGE


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "accepted"),
    [
        ("POST", "/a", "h", b"x", True),
        ("PUT", "/a", "h", b"x", False),
        ("POST", "/b", "h", b"x", False),
        ("POST", "/a", "i", b"x", False),
        ("POST", "/a", "h", b"y", False),
    ],
)
def test_request_signature_covers(
    method: str, path: str, headers: str, body: bytes, accepted: bool
) -> None:
    """Guards against a signed request whose parts were replaced."""
    header = RequestSigner("a", KEY, 1).sign("b", "POST", "/a", "h", b"x")
    receiver = RequestSigner("b", KEY, 1)
    assert receiver.verify(header, method, path, headers, body).is_ok() is accepted


@pytest.mark.parametrize("header", ["", "a b", "a b 1 1 zz", "a b ² 1 zz", "a b 1 1 é"])
def test_malformed_signature_is_refused(header: str) -> None:
    """Guards against an exception on a forged header."""
    receiver = RequestSigner("b", KEY, 1)
    assert receiver.verify(header, "GET", "/", "", b"").is_err()


def test_signature_order_and_replay() -> None:
    """Guards against refusing reordered requests and accepting repeated ones."""
    sender = RequestSigner("a", KEY, 1)
    receiver = RequestSigner("b", KEY, 1)
    headers = [sender.sign("b", "GET", "/", "", b"") for _ in range(3)]
    for header in (headers[2], headers[0], headers[1]):
        assert receiver.verify(header, "GET", "/", "", b"").is_ok()
    for header in headers:
        refused = receiver.verify(header, "GET", "/", "", b"")
        assert refused.unwrap_err().code == ResultCode.MESSAGE_REPLAYED
    sender.sequence += REPLAY_WINDOW_SIZE
    assert receiver.verify(
        sender.sign("b", "GET", "/", "", b""), "GET", "/", "", b""
    ).is_ok()
    assert receiver.verify(headers[1], "GET", "/", "", b"").is_err()
