"""The command and the reply of the configuration group, and their encoding."""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import NamedTuple

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.validation import MAX_DOCUMENT_BYTES
from sassafraswharf.configuration.validation import DocumentBytes
from sassafraswharf.failure import Failure


MAX_CHANGE_ID_CHARS: Final = 64
MAX_AUTHOR_CHARS: Final = 128
MAX_REVISION: Final = 2**53 - 1
"""Revisions stay exact in JSON readers that use double-precision numbers."""

_MAX_MESSAGE_CHARS: Final = 4_096
_DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    OverflowError,
)

ChangeId = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_CHANGE_ID_CHARS)]
Author = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_AUTHOR_CHARS)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class ApplyChange(NamedTuple):
    """A change of the configuration that an operator submitted.

    ``document`` comes from ``encode_document`` after ``check_document``: a
    document is checked before the change is proposed and not when it is applied,
    because replicas of different versions may check differently and must still
    reach the same state. ``submitted_at`` is the wall-clock time of the leader in
    Unix seconds. It is not part of the content, so a resend may carry another.
    """

    change_id: str
    base_revision: int
    document: DocumentBytes
    author: str
    submitted_at: float


class ChangeReply(NamedTuple):
    """The reply to a change.

    ``revision`` is the newest revision when the reply was first made.
    ``winner_id`` and ``winner_author`` name the change that was accepted with the
    same base; they are empty if there is none or its reply is no longer cached.
    """

    code: ResultCode
    revision: int
    change_id: str
    winner_id: str
    winner_author: str
    message: str


class _CommandFields(NamedTuple):
    change_id: ChangeId
    base_revision: Revision
    document: Annotated[bytes, msgspec.Meta(max_length=MAX_DOCUMENT_BYTES)]
    author: Author
    submitted_at: Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class _ReplyFields(NamedTuple):
    code: ResultCode
    revision: Revision
    change_id: Annotated[str, msgspec.Meta(max_length=MAX_CHANGE_ID_CHARS)]
    winner_id: Annotated[str, msgspec.Meta(max_length=MAX_CHANGE_ID_CHARS)]
    winner_author: Annotated[str, msgspec.Meta(max_length=MAX_AUTHOR_CHARS)]
    message: Annotated[str, msgspec.Meta(max_length=_MAX_MESSAGE_CHARS)]


def check_change(value: ApplyChange) -> Result[ApplyChange, Failure]:
    """Return the change, or code 3001 if replicas would fail to decode it."""
    try:
        decoded = decode_command(encode_command(value))
    except _DECODE_ERRORS as error:
        return Err(Failure(ResultCode.BAD_REQUEST, str(error)))
    return decoded.map_err(_bad_request)


def encode_command(command: ApplyChange) -> bytes:
    """Return the bytes that are proposed to the configuration group."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Result[ApplyChange, Failure]:
    """Return the decoded change, or code 6001 if the bytes are malformed."""
    try:
        fields = msgspec.msgpack.decode(data, type=_CommandFields)
    except _DECODE_ERRORS as error:
        return _malformed("change", error)
    return Ok(ApplyChange(*fields[:2], DocumentBytes(fields.document), *fields[3:]))


def encode_reply(reply: ChangeReply) -> bytes:
    """Return the bytes that the state machine returns for a command."""
    return msgspec.msgpack.encode(reply)


def decode_reply(data: bytes) -> Result[ChangeReply, Failure]:
    """Return the decoded reply, or code 6001 if the bytes are malformed."""
    try:
        return Ok(ChangeReply(*msgspec.msgpack.decode(data, type=_ReplyFields)))
    except _DECODE_ERRORS as error:
        return _malformed("reply", error)


def _malformed(what: str, error: Exception) -> Err[Failure]:
    return Err(Failure(ResultCode.MESSAGE_MALFORMED, f"damaged {what}: {error}"))


def _bad_request(failure: Failure) -> Failure:
    return failure._replace(code=ResultCode.BAD_REQUEST)
