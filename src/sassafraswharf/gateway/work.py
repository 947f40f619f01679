"""Requests and answers as the routers pass them on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafraswharf.codes import ResultCode
    from sassafraswharf.gateway.streamed_answer import StreamedAnswer


class HeaderNames(NamedTuple):
    """Names of the headers that callers and upstreams understand.

    ``request_id`` is echoed by upstreams, ``deadline_ms`` is the time left,
    ``instance`` names the only upstream that may run the request and ``origin``
    the service of the host where the request began. An upstream sets ``not_run``
    on an answer that promises that it did not run the request, and ``signature``
    on answers of its own.
    """

    request_id: str
    deadline_ms: str
    instance: str
    origin: str
    not_run: str
    signature: str
    key: str


class Terms(NamedTuple):
    """What admission knows of a request; instants are of the local clock.

    ``is_late`` says that the goal has passed, so an answer is worth less.
    """

    priority: int
    is_late: bool
    goal_at: float
    deadline_at: float


class Work(NamedTuple):
    """A request on its way to an upstream.

    ``rest`` yields what follows ``body`` in a long request, which can be sent
    only once. ``key`` is ``None`` for a service that is not divided by key.
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

    @property
    def is_sent_once(self) -> bool:
        """Return whether it must not be sent again after an unknown outcome."""
        return self.rest is not None or not self.repeatable


class Answer(NamedTuple):
    """A whole answer of an upstream, or the beginning of a long one.

    Whoever gets an answer with a ``rest`` closes it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: StreamedAnswer | None = None


class Rejection(NamedTuple):
    """Why there is no answer.

    ``not_run`` promises that no upstream has run the request or will run it.
    ``reached_upstream`` says that an upstream got the request, which counts as
    an attempt. ``retry_after_s`` is when there will be room.
    """

    code: ResultCode
    message: str
    not_run: bool
    reached_upstream: bool = False
    retry_after_s: float = 0.0


class LoadHint(NamedTuple):
    """How busy an upstream is: requests at work and waiting, and its limit."""

    running: int
    waiting: int
    limit: int
    service_s: float
