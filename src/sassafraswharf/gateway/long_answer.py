"""The part of a long answer that is passed on while it arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from sassafraswharf.gateway.http_connection import HttpConnection


class LongAnswer:
    """The rest of an answer, which holds its connection until it is closed.

    Whoever gets it must close it. A generator can't do so by itself: one that was
    never started does not run its ``finally``.
    """

    def __init__(self, connection: HttpConnection, rest: AsyncIterator[bytes]) -> None:
        """Take over a connection of which ``rest`` yields the end of a body."""
        self.connection = connection
        self.rest = rest
        self.on_end: Callable[[bool], None] = lambda _whole: None
        connection.owned_by_response = True

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the rest; raises what its stream raises when it is cut short."""
        return self.rest

    def close(self, *, whole: bool) -> None:
        """Close the connection and tell whether the whole answer was passed on."""
        self.connection.abort()
        on_end, self.on_end = self.on_end, lambda _whole: None
        on_end(whole)
