"""Caches the first reply to each change, so that a resend gets the same reply."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.configuration.commands import ChangeReply  # noqa: TC001  msgspec reads the type of the field


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf.configuration.commands import ApplyChange


_DIGEST_BYTES: Final = 16


class CachedReply(NamedTuple):
    """The first reply to a change id, with a digest of the change's content."""

    digest: bytes
    base_revision: int
    author: str
    reply: ChangeReply


class ReplyCache:
    """The newest ``limit`` replies, in the order in which they were added."""

    def __init__(self, limit: int, replies: Iterable[CachedReply] = ()) -> None:
        """Start with the replies of a snapshot, oldest first."""
        self.limit = limit
        self.replies = {item.reply.change_id: item for item in replies}

    def find(self, change_id: str) -> CachedReply | None:
        """Return the reply to a change id, or None if it is not cached."""
        return self.replies.get(change_id)

    def find_by_base(self, base_revision: int) -> CachedReply | None:
        """Return the newest cached reply to a change with this base revision."""
        newest_first = reversed(self.replies.values())
        matches = (item for item in newest_first if item.base_revision == base_revision)
        return next(matches, None)

    def add(self, item: CachedReply) -> None:
        """Cache a reply and evict the oldest one beyond the limit."""
        self.replies[item.reply.change_id] = item
        if len(self.replies) > self.limit:
            del self.replies[next(iter(self.replies))]


def content_digest(command: ApplyChange) -> bytes:
    """Return a digest of the fields that identify a change: base, author, document."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    author = command.author.encode("utf-8", "surrogatepass")
    for part in (b"%d" % command.base_revision, author, command.document):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()
