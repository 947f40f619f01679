"""Tracks the running requests and local suspects of one router."""

from __future__ import annotations

import hashlib

from enum import Enum
from enum import auto
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.identifiers import UpstreamId


LOCAL_ENTRY_TTL_S = 600.0
MAX_SUSPECTS = 10_000


class ExecutionMode(Enum):
    """How a request may be run."""

    NORMAL = auto()
    ALONE = auto()
    REFUSED = auto()


class CrashReport(NamedTuple):
    """The report to the cell after an upstream's process has crashed."""

    upstream: UpstreamId
    digests: tuple[bytes, ...]
    alone: bool


class LocalQuarantine:
    """Tracks the requests that run on the upstreams of one router.

    The digests of requests that were running when an upstream crashed become
    suspects here at once, and on the other routers with the next update from the
    cell. A digest that ran alone during a crash is refused here without waiting
    for its conviction by the cell. Concurrent requests with the same digest do
    not count as running alone.
    """

    def __init__(self) -> None:
        self.running: dict[UpstreamId, dict[int, bytes]] = {}
        self.solo_requests: dict[UpstreamId, int] = {}
        self.suspects: dict[bytes, float] = {}
        self.convicted: dict[bytes, float] = {}

    def execution_mode(self, digest: bytes, now: float) -> ExecutionMode:
        """Return how a request with this digest may be run."""
        if self.convicted.get(digest, now) > now:
            return ExecutionMode.REFUSED
        if self.suspects.get(digest, now) > now:
            return ExecutionMode.ALONE
        return ExecutionMode.NORMAL

    def request_started(
        self, upstream: UpstreamId, request_id: int, digest: bytes, alone: bool
    ) -> None:
        """Record a request immediately before it is sent to an upstream."""
        self.running.setdefault(upstream, {})[request_id] = digest
        if alone:
            self.solo_requests[upstream] = request_id

    def request_finished(
        self, upstream: UpstreamId, request_id: int, connection_lost: bool = False
    ) -> bytes | None:
        """Record the end of a request; return a digest that a solo run cleared.

        A request with ``connection_lost`` is kept until :meth:`upstream_died` or
        :meth:`upstream_survived` reports whether the upstream crashed.
        """
        if connection_lost:
            return None
        digest = self.running.get(upstream, {}).pop(request_id, None)
        if digest is None or self.solo_requests.get(upstream) != request_id:
            return None
        del self.solo_requests[upstream]
        self.suspects.pop(digest, None)
        return digest

    def upstream_died(self, upstream: UpstreamId, now: float) -> CrashReport | None:
        """Record a crash; return its report, or ``None`` if no request was running."""
        running = self.running.pop(upstream, {})
        alone = self.solo_requests.pop(upstream, None) in running and len(running) == 1
        if not running:
            return None
        digests = tuple(sorted(set(running.values())))
        self._evict(now)
        for digest in digests:
            target = self.convicted if alone else self.suspects
            target[digest] = now + LOCAL_ENTRY_TTL_S
        return CrashReport(upstream, digests, alone)

    def upstream_survived(self, upstream: UpstreamId, request_id: int) -> None:
        """Drop a request whose connection was lost while its upstream keeps running."""
        self.running.get(upstream, {}).pop(request_id, None)
        if self.solo_requests.get(upstream) == request_id:
            del self.solo_requests[upstream]

    def apply_cell_update(
        self,
        suspects: Iterable[tuple[bytes, float]],
        convicted: Iterable[tuple[bytes, float]],
        released: Iterable[bytes],
        now: float,
    ) -> None:
        """Apply an update of the cell; the floats are seconds until expiry."""
        for digest, remaining_s in suspects:
            self.suspects[digest] = now + remaining_s
        for digest, remaining_s in convicted:
            self.convicted[digest] = now + remaining_s
        for digest in released:
            self.suspects.pop(digest, None)
            self.convicted.pop(digest, None)

    def _evict(self, now: float) -> None:
        for table in (self.suspects, self.convicted):
            for digest in [d for d, until in table.items() if until <= now]:
                del table[digest]
            while len(table) >= MAX_SUSPECTS:
                del table[next(iter(table))]


def request_digest(method: str, path: str, query: str, body: bytes) -> bytes:
    """Return the digest that identifies a request when it is sent again.

    The lengths are hashed as well, so that different splits of the same bytes
    have different digests. Headers are left out, because a caller's resend may
    differ in them. The hash is cryptographic, so that nobody can craft a request
    with the digest of another one and get the other one convicted.

    >>> len(request_digest("POST", "/booking", "", b"{}"))
    16
    """
    digest = hashlib.blake2b(digest_size=16)
    texts = (text.encode(errors="surrogatepass") for text in (method, path, query))
    for part in (*texts, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
