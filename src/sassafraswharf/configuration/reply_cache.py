"""Remembers the first answer to each change, so that a resend gets it again."""

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
    """The first answer to a change id and a digest of the change's content."""

    digest: bytes
    base_revision: int
    author: str
    reply: ChangeReply


class ReplyCache:
    """The newest ``limit`` answers in the order in which they were given."""

    def __init__(self, limit: int, replies: Iterable[CachedReply] = ()) -> None:
        """Take over the answers of a snapshot, oldest first."""
        self.limit = limit
        self.replies = {item.reply.change_id: item for item in replies}

    def find(self, change_id: str) -> CachedReply | None:
        """Return the answer to the change id while it is remembered."""
        return self.replies.get(change_id)

    def find_by_base(self, base_revision: int) -> CachedReply | None:
        """Return the newest remembered answer to a change with this base."""
        newest_first = reversed(self.replies.values())
        matches = (item for item in newest_first if item.base_revision == base_revision)
        return next(matches, None)

    def add(self, item: CachedReply) -> None:
        """Remember an answer; beyond the limit the oldest one is forgotten."""
        self.replies[item.reply.change_id] = item
        if len(self.replies) > self.limit:
            del self.replies[next(iter(self.replies))]


def content_digest(command: ApplyChange) -> bytes:
    """Return a digest of what makes two submissions the same change."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    author = command.author.encode("utf-8", "surrogatepass")
    for part in (b"%d" % command.base_revision, author, command.document):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()
