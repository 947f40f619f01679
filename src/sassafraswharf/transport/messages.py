"""Bodies of the control messages and their codec."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

import msgspec

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from result import Result

Body = TypeVar("Body")


class ConsensusBody(NamedTuple):
    """A message of one replicated-log group; ``payload`` is its encoding."""

    group: str
    sender: str
    recipient: str
    payload: bytes


class Proposal(NamedTuple):
    """A command that a process wants the leader of a group to append."""

    group: str
    command: bytes


class ProposalReply(NamedTuple):
    """The reply to a proposal.

    ``code`` is 0 when the command was committed; then ``reply`` is the result
    from the state machine. With 5001 ``leader`` names the leader, if known.
    """

    code: int
    message: str
    leader: str
    reply: bytes


class CellPull(NamedTuple):
    """A request for the changes of a cell after ``from_version``."""

    cell: str
    from_version: int


class CellPullReply(NamedTuple):
    """The encoded delta of a cell; empty when there is nothing newer."""

    delta: bytes


class ConfigurationPull(NamedTuple):
    """A request for the configuration if it is newer than ``known_revision``."""

    known_revision: int


class ConfigurationPullReply(NamedTuple):
    """The newest committed configuration as JSON; empty when none is newer."""

    revision: int
    document: bytes


class TableChanged(NamedTuple):
    """A hint that a cell has a newer table than the receiver may know."""

    cell: str
    table_version: int


def encode(body: tuple[object, ...]) -> bytes:
    """Return the MessagePack encoding of a message body."""
    return msgspec.msgpack.encode(body)


def decode(data: bytes, kind: type[Body]) -> Result[Body, Failure]:
    """Return the message body, or 6001 when the bytes don't hold a ``kind``."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.MESSAGE_MALFORMED, f"{kind.__name__}: {error}"))
