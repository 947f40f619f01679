"""Requests, answers and rejections as they pass between routers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafraswharf.codes import ResultCode
    from sassafraswharf.gateway.streamed_answer import StreamedAnswer


class HeaderNames(NamedTuple):
    """Names of the headers that callers and upstreams understand.

    ``request_id`` is echoed by upstreams, ``deadline_ms`` is the remaining time,
    ``instance`` names the only upstream that may run the request and ``origin``
    the service of the host where the request was made. An upstream sets ``not_run``
    on an answer that guarantees that it did not run the request, and ``signature``
    on answers that it has produced itself.
    """

    request_id: str
    deadline_ms: str
    instance: str
    origin: str
    not_run: str
    signature: str
    key: str


class Terms(NamedTuple):
    """Priority, latency goal and deadline of a request, on the local clock.

    ``is_late`` means that the latency goal has already passed.
    """

    priority: int
    is_late: bool
    goal_at: float
    deadline_at: float


class Work(NamedTuple):
    """A request on its way to an upstream.

    ``rest`` yields the body of a streamed request, which can be sent only once;
    ``stream_digest`` is that of its beginning. ``key`` is ``None`` for a service that
    is not sharded by key.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: AsyncIterator[bytes] | None
    service: str
    origin: str
    key: int | None
    repeatable: bool
    terms: Terms
    stream_digest: bytes = b""

    @property
    def is_sent_once(self) -> bool:
        """Return whether a retry is ruled out after an unknown outcome."""
        return self.rest is not None or not self.repeatable


class Answer(NamedTuple):
    """A whole answer of an upstream, or the beginning of a streamed one.

    The receiver of an answer with a ``rest`` must close it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: StreamedAnswer | None = None


class Rejection(NamedTuple):
    """The reason why a request has no answer.

    ``not_run`` guarantees that no upstream has run the request or will run it.
    ``reached_upstream`` means that an upstream received the request, which counts
    as an attempt. ``retry_after_s`` is when the request may be admitted.
    """

    code: ResultCode
    message: str
    not_run: bool
    reached_upstream: bool = False
    retry_after_s: float = 0.0


class LoadHint(NamedTuple):
    """Load of an upstream: running and queued requests, limit and service time."""

    running: int
    waiting: int
    limit: int
    service_s: float
