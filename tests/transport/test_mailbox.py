from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import pynng

from sassafraswharf.codes import ResultCode
from sassafraswharf.transport.authenticator import Authenticator
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.mailbox import Mailbox
from sassafraswharf.transport.mailbox import Peer


if TYPE_CHECKING:
    from sassafraswharf.failure import Failure
    from sassafraswharf.transport.envelope import Envelope


KEY = bytes(range(32))


async def echo(envelope: Envelope) -> bytes:
    return envelope.body.upper()


def mailbox(name: str, dropped: list[Failure]) -> Mailbox:
    authenticator = Authenticator(name, KEY, 1)
    return Mailbox("127.0.0.1:0", authenticator, echo, dropped.append)


async def exchange() -> tuple[list[bytes], list[Failure]]:
    dropped: list[Failure] = []
    left, right = mailbox("left", dropped), mailbox("right", dropped)
    left.start()
    right.start()
    with pynng.Push0(dial=f"tcp://{right.address}") as stranger:
        stranger.send(b"not an envelope")
        peer = Peer("right", right.address)
        bodies = [b"a", b"b", b"c"]
        replies = await asyncio.gather(
            *(left.request(peer, MessageKind.CELL_PULL, body, 5.0) for body in bodies)
        )
    await left.stop()
    await right.stop()
    return [reply.unwrap() for reply in replies], dropped


def test_replies_reach_their_requests() -> None:
    """Guards against replies mixed up, and against a crash on foreign bytes."""
    replies, dropped = asyncio.run(exchange())
    assert replies == [b"A", b"B", b"C"]
    assert [failure.code for failure in dropped] == [ResultCode.MESSAGE_UNAUTHENTICATED]


def test_request_to_an_absent_peer_fails() -> None:
    """Guards against waiting forever for a process that is down."""

    async def run() -> ResultCode:
        left = mailbox("left", [])
        left.start()
        peer = Peer("nobody", "127.0.0.1:1")
        reply = await left.request(peer, MessageKind.CELL_PULL, b"", 0.05)
        await left.stop()
        return reply.unwrap_err().code

    assert asyncio.run(run()) == ResultCode.PEER_UNREACHABLE
