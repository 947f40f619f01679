"""The rest of an answer that is too long to buffer and is streamed instead."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from sassafraswharf.gateway.http_connection import HttpConnection


class StreamedAnswer:
    """The rest of an answer's body, which holds its connection until it is closed.

    The receiver must close it. A generator can't do so by itself: one that was
    never started does not run its ``finally``.
    """

    def __init__(self, connection: HttpConnection, rest: AsyncIterator[bytes]) -> None:
        """Take over a connection; ``rest`` yields the remaining parts of the body."""
        self.connection = connection
        self.rest = rest
        self.on_end: Callable[[bool], None] = lambda _whole: None
        connection.owned_by_response = True

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the rest; raises the stream's error if the body is cut short."""
        return self.rest

    def close(self, *, whole: bool) -> None:
        """Close the connection; ``whole`` tells if the whole answer was relayed."""
        self.connection.abort()
        on_end, self.on_end = self.on_end, lambda _whole: None
        on_end(whole)
