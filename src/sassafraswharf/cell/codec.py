"""Encoding of commands and replies as tagged MessagePack arrays."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.cell import commands
from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


_T = TypeVar("_T")

COMMAND_TAGS: dict[int, type[Any]] = {
    1: commands.SetServices,
    2: commands.OpenSession,
    3: commands.CloseSession,
    4: commands.SetJournalPeers,
    5: commands.JournalPeersReady,
    6: commands.AnnounceUpstream,
    7: commands.AdmitUpstream,
    8: commands.DrainUpstream,
    9: commands.RemoveUpstream,
    10: commands.UpstreamLost,
    11: commands.CloseSlots,
    12: commands.SlotsReleased,
    13: commands.AssignSlots,
    14: commands.JournalReady,
    15: commands.ReportCrash,
    16: commands.ClearSuspects,
    17: commands.ReleaseSuspect,
    18: commands.CloseSessions,
    19: commands.ReleaseJournal,
    20: commands.ReserveSolo,
}
"""Tags are stored in logs: never reuse or renumber one."""

REPLY_TAGS: dict[int, type[Any]] = {1: commands.Reply, 2: commands.SessionOpened}

_TAG_OF = {
    kind: tag for tags in (COMMAND_TAGS, REPLY_TAGS) for tag, kind in tags.items()
}
_header_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_decoders = {
    kind: msgspec.msgpack.Decoder(kind)
    for tags in (COMMAND_TAGS, REPLY_TAGS)
    for kind in tags.values()
}


def encode_command(command: commands.Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode((_TAG_OF[type(command)], command))


def decode_command(data: bytes) -> Result[commands.Command, Failure]:
    """Decode a command; corrupt data gives code 6001."""
    return _decode(data, COMMAND_TAGS)


def encode_reply(reply: commands.AnyReply) -> bytes:
    """Encode the reply to a command."""
    return msgspec.msgpack.encode((_TAG_OF[type(reply)], reply))


def decode_reply(data: bytes) -> Result[commands.AnyReply, Failure]:
    """Decode a reply; corrupt data gives code 6001."""
    return _decode(data, REPLY_TAGS)


def decode_value(data: bytes, kind: type[_T]) -> Result[_T, Failure]:
    """Decode a value of a known type; corrupt data gives code 6001."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=kind))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(_malformed(str(error)))


def _decode(data: bytes, tags: dict[int, type[Any]]) -> Result[Any, Failure]:
    try:
        tag, body = _header_decoder.decode(data)
        kind = tags.get(tag)
        if kind is None:
            return Err(_malformed(f"unknown tag {tag}"))
        return Ok(_decoders[kind].decode(body))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(_malformed(str(error)))


def _malformed(reason: str) -> Failure:
    return Failure(ResultCode.MESSAGE_MALFORMED, f"can't decode: {reason}")
