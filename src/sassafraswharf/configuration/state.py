"""Replicated state machine of the configuration group."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

import msgspec

from result import Err

from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.change_audit import AuditEntry
from sassafraswharf.configuration.change_audit import ChangeAudit
from sassafraswharf.configuration.commands import ApplyChange
from sassafraswharf.configuration.commands import ChangeReply
from sassafraswharf.configuration.commands import decode_command
from sassafraswharf.configuration.commands import encode_reply
from sassafraswharf.configuration.history import RevisionHistory
from sassafraswharf.configuration.history import RevisionRecord
from sassafraswharf.configuration.outline import EMPTY_OUTLINE
from sassafraswharf.configuration.outline import Outline
from sassafraswharf.configuration.outline import describe_change
from sassafraswharf.configuration.outline import find_slot_count_change
from sassafraswharf.configuration.outline import read_outline
from sassafraswharf.configuration.reply_cache import CachedReply
from sassafraswharf.configuration.reply_cache import ReplyCache
from sassafraswharf.configuration.reply_cache import content_digest
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure


MAX_ACCEPTED_REPLIES: Final = 4_096
"""Holds more than a day of changes at 3,900 changes a day."""

MAX_REFUSED_REPLIES: Final = 4_096
SNAPSHOT_VERSION: Final = 1

_ACTION: Final = "apply"


class _Snapshot(NamedTuple):
    version: int
    revision: int
    history: list[RevisionRecord]
    accepted: list[CachedReply]
    refused: list[CachedReply]
    audit: list[AuditEntry]
    audit_dropped: int


class ConfigurationState:
    """Decides deterministically on every replica which change is accepted.

    A change is accepted only if its base is the newest revision, and acceptance
    creates the next revision. An accepted change is therefore never applied twice,
    however late it is resent and even if its reply was evicted from the cache: its
    base stays older than the newest revision. Such a late resend gets code 2001.
    A change that was refused because its base did not exist yet can be accepted,
    for the first time, if it is resent after its reply was evicted.
    Replies to accepted and refused changes are cached separately, so that a flood
    of refusals doesn't evict the reply to an accepted change.
    """

    def __init__(self) -> None:
        """Start at revision 0, which has no document."""
        self.revision = 0
        self.history = RevisionHistory()
        self.accepted_replies = ReplyCache(MAX_ACCEPTED_REPLIES)
        self.refused_replies = ReplyCache(MAX_REFUSED_REPLIES)
        self.audit = ChangeAudit()

    @property
    def document(self) -> bytes:
        """The encoded document in force; empty at revision 0."""
        newest = self.history.newest
        return newest.document if newest else b""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the encoded ``ChangeReply``.

        A malformed command changes nothing and gets code 6001.
        """
        decoded = decode_command(command)
        if isinstance(decoded, Err):
            failure = decoded.err_value
            return encode_reply(self._reply("", failure.code, failure.message))
        return encode_reply(self.submit(index, decoded.ok_value))

    def submit(self, index: int, change: ApplyChange) -> ChangeReply:
        """Return the cached reply to a resend, or accept or refuse a new change."""
        digest = content_digest(change)
        first = self.find_cached_reply(change.change_id)
        if first is not None and first.digest == digest:
            return first.reply
        if first is not None:
            reply = self._reply(
                change.change_id,
                ResultCode.CHANGE_ID_REUSED,
                f"change id {change.change_id!r} was used for other content; "
                "submit the change with a new id",
            )
            self._record(index, change, reply, "")
            return reply
        reply, detail = self._decide(change)
        cached = CachedReply(digest, change.base_revision, change.author, reply)
        cache = (
            self.accepted_replies
            if reply.code is ResultCode.OK
            else self.refused_replies
        )
        cache.add(cached)
        self._record(index, change, reply, detail)
        return reply

    def find_cached_reply(self, change_id: str) -> CachedReply | None:
        """Return the first reply to a change id, or None if it is not cached."""
        return self.accepted_replies.find(change_id) or self.refused_replies.find(
            change_id
        )

    def is_current_base(self, base_revision: int) -> bool:
        """Return whether a change with this base may still be accepted."""
        return base_revision == self.revision

    def snapshot(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""
        return msgspec.msgpack.encode(
            _Snapshot(
                SNAPSHOT_VERSION,
                self.revision,
                list(self.history.records),
                list(self.accepted_replies.replies.values()),
                list(self.refused_replies.replies.values()),
                list(self.audit.entries),
                self.audit.dropped,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state; a corrupt snapshot raises and changes nothing."""
        try:
            fields = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise _corrupt(str(error)) from error
        history = RevisionHistory(fields.history)
        newest = history.newest.revision if history.newest else 0
        if fields.version != SNAPSHOT_VERSION or newest != fields.revision:
            reason = f"version {fields.version}, revision {fields.revision}/{newest}"
            raise _corrupt(reason)
        self.revision = fields.revision
        self.history = history
        self.accepted_replies = ReplyCache(MAX_ACCEPTED_REPLIES, fields.accepted)
        self.refused_replies = ReplyCache(MAX_REFUSED_REPLIES, fields.refused)
        self.audit = ChangeAudit(fields.audit, fields.audit_dropped)

    def _decide(self, change: ApplyChange) -> tuple[ChangeReply, str]:
        if not self.is_current_base(change.base_revision):
            return self._conflict(change), ""
        before = read_outline(self.document).unwrap_or(EMPTY_OUTLINE)
        after = read_outline(change.document)
        if isinstance(after, Err):
            failure = after.err_value
            return self._reply(change.change_id, failure.code, failure.message), ""
        return self._accept(change, before, after.ok_value)

    def _accept(
        self, change: ApplyChange, before: Outline, after: Outline
    ) -> tuple[ChangeReply, str]:
        service = find_slot_count_change(before, after)
        if service is not None:
            message = (
                f"services[{service}].slot_count: can't change while the service is "
                "declared; declare a service with another name"
            )
            code = ResultCode.CONFIGURATION_INVALID
            return self._reply(change.change_id, code, message), ""
        self.revision += 1
        self.history.add(
            RevisionRecord(
                self.revision,
                change.change_id,
                change.author,
                change.submitted_at,
                change.document,
            )
        )
        message = f"accepted as revision {self.revision}"
        reply = self._reply(change.change_id, ResultCode.OK, message)
        return reply, describe_change(before, after)

    def _conflict(self, change: ApplyChange) -> ChangeReply:
        base = change.base_revision
        winner = self.accepted_replies.find_by_base(base)
        if base > self.revision:
            reason = f"base revision {base} does not exist"
        elif winner is None:
            reason = f"base revision {base} is too old to name the change that won"
        else:
            reason = f"{winner.reply.change_id!r} by {winner.author!r} won"
        return self._reply(
            change.change_id,
            ResultCode.CONFIGURATION_CONFLICT,
            f"{reason}; the newest revision is {self.revision}",
            winner,
        )

    def _reply(
        self,
        change_id: str,
        code: ResultCode,
        message: str,
        winner: CachedReply | None = None,
    ) -> ChangeReply:
        winner_id = winner.reply.change_id if winner else ""
        winner_author = winner.author if winner else ""
        return ChangeReply(
            code, self.revision, change_id, winner_id, winner_author, message
        )

    def _record(
        self, index: int, change: ApplyChange, reply: ChangeReply, detail: str
    ) -> None:
        self.audit.add(
            AuditEntry(
                log_index=index,
                at=change.submitted_at,
                actor=change.author,
                action=_ACTION,
                subject=change.change_id,
                detail=detail or reply.message,
                revision=reply.revision,
                code=reply.code,
            )
        )


def _corrupt(reason: str) -> StorageError:
    message = f"configuration snapshot: {reason}"
    return StorageError(Failure(ResultCode.SNAPSHOT_CORRUPT, message))
