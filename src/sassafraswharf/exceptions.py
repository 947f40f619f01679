"""Exceptions of the package.

Expected failures are returned as ``result.Err(Failure(...))``. Exceptions are
for bugs and for I/O failures: files, sockets and start-up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.failure import Failure


class SassafraswharfError(Exception):
    """Base class of all exceptions of the package."""

    def __init__(self, failure: Failure) -> None:
        """Keep the failure, whose code becomes part of the message."""
        super().__init__(f"[{int(failure.code)}] {failure.message}")
        self.failure = failure


class SettingsError(SassafraswharfError):
    """The settings can't be read or are not acceptable."""


class StorageError(SassafraswharfError):
    """A file of the data folder can't be read, written or synced."""


class TransportError(SassafraswharfError):
    """A socket can't be opened or a key file can't be used."""


class ExchangeError(Exception):
    """An HTTP exchange has no whole answer.

    ``sent`` tells whether any byte of the request may have been delivered.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Keep the reason and how far the request got."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
