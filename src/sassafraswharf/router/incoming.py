"""Parsed requests, and the authenticated request ids that upstreams see."""

from __future__ import annotations

import hmac

from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.requests.urgency import RequestFacts


if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from sassafraswharf.requests.classification import Classification


MAX_NESTED_DEPTH: Final = 8
MAC_BYTES: Final = 8
MAX_IDEMPOTENCY_KEY_CHARACTERS: Final = 200


class IncomingRequest(NamedTuple):
    """A complete request from a caller or another router.

    ``target`` is the raw path with the query. ``hop`` is set if another router has
    forwarded the request; it is then never forwarded again. ``solo`` is set if an
    earlier attempt may have crashed its upstream. ``digest`` is the same for the
    request and its resends.
    """

    request_id: int
    method: str
    target: str
    headers: CIMultiDictProxy[str]
    body: bytes
    classification: Classification
    idempotency_key: str | None
    nested_depth: int
    arrived_at: float
    deadline_at: float
    hop: bool
    solo: bool
    digest: bytes

    @property
    def facts(self) -> RequestFacts:
        """The properties that admission control decides by."""
        return RequestFacts(
            self.classification.service,
            self.classification.operation,
            self.classification.repeatable,
            self.nested_depth,
            self.deadline_at,
            self.routing_key,
            self.arrived_at,
        )

    @property
    def routing_key(self) -> str | None:
        """The key that determines the owner.

        In a service without a key, an at-most-once request is routed by its
        idempotency key, so that all its resends reach the same owner.
        """
        if self.classification.key is not None:
            return self.classification.key
        return None if self.classification.repeatable else self.idempotency_key

    @property
    def is_journaled(self) -> bool:
        """Whether the journal ensures that the request runs at most once."""
        return not self.classification.repeatable and self.idempotency_key is not None


class RequestIds:
    """Creates and verifies the request ids that upstreams see.

    An upstream that calls another service while it serves a request passes the
    id on in ``Sassafraswharf-Nested``. The id is authenticated, so an outside
    caller can't claim the urgency of a nested call.

    >>> ids = RequestIds("dub-a-1", b"0123456789abcdef")
    >>> ids.depth_of(ids.create(7, 0))
    1
    >>> ids.depth_of("dub-a-1.7.0.0000000000000000")
    0
    """

    def __init__(self, host: str, key: bytes) -> None:
        """Use the shared key of the deployment, so that any router can verify an id."""
        self.host = host
        self.key = key

    def create(self, number: int, depth: int) -> str:
        """Return the id for a request at a nesting depth."""
        text = f"{self.host}.{number}.{depth}"
        return f"{text}.{self.mac(text)}"

    def depth_of(self, parent: str | None) -> int:
        """Return the nesting depth of a request; 0 if ``parent`` is invalid or None."""
        if parent is None:
            return 0
        text, _, mac = parent.rpartition(".")
        if not hmac.compare_digest(
            self.mac(text).encode(), mac.encode("utf-8", "replace")
        ):
            return 0
        return min(MAX_NESTED_DEPTH, int(text.rpartition(".")[2]) + 1)

    def mac(self, text: str) -> str:
        """Return the MAC of an id as hexadecimal digits."""
        data = text.encode("utf-8", "surrogateescape")
        return blake2b(data, digest_size=MAC_BYTES, key=self.key).hexdigest()
