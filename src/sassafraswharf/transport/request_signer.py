"""Authentication of HTTP requests between routers."""

from __future__ import annotations

import hmac

from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from result import Result


AUTHENTICATION_HEADER = "Sassafraswharf-Auth"
REPLAY_WINDOW_SIZE = 65_536
MAC_BYTES = 16


class Signature(NamedTuple):
    """The parsed value of the authentication header."""

    sender: str
    recipient: str
    incarnation: int
    sequence: int
    mac: str


class ReplayWindow:
    """The sequence numbers of one incarnation of a sender that were seen.

    Requests travel over parallel connections and arrive out of order, so a
    window of 65,536 numbers is remembered instead of only the newest. Numbers
    before the window count as seen.
    """

    def __init__(self, incarnation: int) -> None:
        """Start with an empty window."""
        self.incarnation = incarnation
        self.newest = 0
        self.seen = bytearray(REPLAY_WINDOW_SIZE)

    def accept(self, sequence: int) -> bool:
        """Return whether the number is new, and remember it."""
        if sequence <= self.newest - REPLAY_WINDOW_SIZE:
            return False
        if sequence > self.newest:
            first = max(self.newest + 1, sequence - REPLAY_WINDOW_SIZE + 1)
            for skipped in range(first, sequence):
                self.seen[skipped % REPLAY_WINDOW_SIZE] = 0
            self.newest = sequence
            self.seen[sequence % REPLAY_WINDOW_SIZE] = 1
            return True
        if self.seen[sequence % REPLAY_WINDOW_SIZE]:
            return False
        self.seen[sequence % REPLAY_WINDOW_SIZE] = 1
        return True


class RequestSigner:
    """Signs requests to other routers and verifies theirs.

    The MAC covers sender, recipient, incarnation, sequence, method, path,
    the idempotency key, the remaining deadline and the body.
    """

    def __init__(self, name: str, key: bytes, incarnation: int) -> None:
        """Start with sequence 0 and no known senders."""
        self.name = name
        self.key = key
        self.incarnation = incarnation
        self.sequence = 0
        self.windows: dict[str, ReplayWindow] = {}

    def sign(
        self, recipient: str, method: str, path: str, signed_headers: str, body: bytes
    ) -> str:
        """Return the value of the authentication header."""
        self.sequence += 1
        prefix = f"{self.name} {recipient} {self.incarnation} {self.sequence}"
        return f"{prefix} {self.mac(prefix, method, path, signed_headers, body)}"

    def verify(
        self, header: str, method: str, path: str, signed_headers: str, body: bytes
    ) -> Result[str, Failure]:
        """Return the name of the sender, or 6003 or 6004."""
        parts = header.split(" ")
        if len(parts) != len(Signature._fields) or not (
            parts[2].isdecimal() and parts[3].isdecimal()
        ):
            return unauthenticated("authentication header is missing or malformed")
        signature = Signature(
            parts[0], parts[1], int(parts[2]), int(parts[3]), parts[4]
        )
        prefix = header.rsplit(" ", 1)[0]
        expected = self.mac(prefix, method, path, signed_headers, body)
        if signature.recipient != self.name or not hmac.compare_digest(
            expected.encode(), signature.mac.encode("utf-8", "replace")
        ):
            return unauthenticated(f"wrong signature of {signature.sender!r}")
        if not self.is_new(signature):
            return Err(
                Failure(
                    ResultCode.MESSAGE_REPLAYED, f"old request of {signature.sender!r}"
                )
            )
        return Ok(signature.sender)

    def is_new(self, signature: Signature) -> bool:
        """Remember the sequence number; a restarted sender gets a new window."""
        window = self.windows.get(signature.sender)
        if window is None or window.incarnation < signature.incarnation:
            window = ReplayWindow(signature.incarnation)
            self.windows[signature.sender] = window
        if signature.incarnation < window.incarnation:
            return False
        return window.accept(signature.sequence)

    def forget(self, sender: str) -> None:
        """Drop the window of a host that has left the cell."""
        self.windows.pop(sender, None)

    def mac(
        self, prefix: str, method: str, path: str, signed_headers: str, body: bytes
    ) -> str:
        """Return the keyed BLAKE2b MAC as hexadecimal digits."""
        head = f"{prefix}\n{method}\n{path}\n{signed_headers}\n".encode()
        digest = blake2b(head, digest_size=MAC_BYTES, key=self.key)
        digest.update(body)
        return digest.hexdigest()


def unauthenticated(message: str) -> Err[Failure]:
    """Return an error result for a request that fails authentication."""
    return Err(Failure(ResultCode.MESSAGE_UNAUTHENTICATED, message))
