"""Messages between the replicas of a group and their wire format."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.entry import Entry  # noqa: TC001 (msgspec needs it)
from sassafraswharf.consensus.voters import Voters  # noqa: TC001 (msgspec needs it)
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import ReplicaId  # noqa: TC001 (msgspec needs it)


Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]


class VoteRequest(NamedTuple):
    """A candidate requests a vote, or a pre-vote before it starts the term."""

    term: Count
    last_index: Count
    last_term: Count
    pre_vote: bool
    transfer: bool


class VoteReply(NamedTuple):
    """The answer; ``term`` repeats the requested term if the vote is granted."""

    term: Count
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Entries after ``prev_index``, or a heartbeat if there are none.

    ``sent_at`` is a time of the leader's clock and is returned unchanged.
    """

    term: Count
    prev_index: Count
    prev_term: Count
    entries: tuple[Entry, ...]
    commit: Count
    sent_at: float


class AppendReply(NamedTuple):
    """How far the sender's synced log agrees with the leader's.

    A refusal carries in ``log_index`` the last position that may agree, and in
    ``previous`` the refused ``prev_index``.
    """

    term: Count
    accepted: bool
    log_index: Count
    previous: Count
    sent_at: float


class SnapshotChunk(NamedTuple):
    """A part of a snapshot."""

    term: Count
    log_index: Count
    index_term: Count
    voters: Voters
    offset: Count
    total: Count
    data: bytes
    sent_at: float


class SnapshotReply(NamedTuple):
    """The number of bytes of the snapshot at ``log_index`` that have arrived."""

    term: Count
    log_index: Count
    received: Count
    sent_at: float


class TransferNow(NamedTuple):
    """The leader asks the receiver to start an election without the timeout."""

    term: Count


class JoinRequest(NamedTuple):
    """A replica without a group asks the leader to add it as a learner."""

    replica: ReplicaId


class BootstrapQuery(NamedTuple):
    """The bootstrap coordinator asks a host whether its replica is empty."""

    host_names: tuple[str, ...]


class EmptyReplicaReply(NamedTuple):
    """The sender has no group; the reply to the query of this coordinator."""

    coordinator: ReplicaId


class BootstrapVoters(NamedTuple):
    """The voters with which a new group starts."""

    voters: Voters


Body: TypeAlias = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferNow
    | JoinRequest
    | BootstrapQuery
    | EmptyReplicaReply
    | BootstrapVoters
)


class ConsensusMessage(NamedTuple):
    """A message body with the identities of sender and receiver.

    ``target`` is a bare host name if the identity there is not known yet.
    """

    source: ReplicaId
    target: ReplicaId
    body: Body


class Frame(NamedTuple):
    """The outer array of the wire format."""

    kind: Count
    source: ReplicaId
    target: ReplicaId
    body: msgspec.Raw


# The position is the number on the wire; new kinds go to the end.
KINDS: tuple[type[Any], ...] = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TransferNow,
    JoinRequest,
    BootstrapQuery,
    EmptyReplicaReply,
    BootstrapVoters,
)
NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
FRAME_DECODER = msgspec.msgpack.Decoder(Frame)
BODY_DECODERS = tuple(msgspec.msgpack.Decoder(kind) for kind in KINDS)


def encode_message(message: ConsensusMessage) -> bytes:
    """Return the message as MessagePack."""
    body = msgspec.Raw(msgspec.msgpack.encode(message.body))
    number = NUMBERS[type(message.body)]
    return msgspec.msgpack.encode((number, message.source, message.target, body))


def decode_message(data: bytes) -> Result[ConsensusMessage, Failure]:
    """Return the message, or 6001 if the bytes are not a valid one."""
    try:
        frame = FRAME_DECODER.decode(data)
        body = BODY_DECODERS[frame.kind].decode(frame.body)
    except (msgspec.MsgspecError, ValueError, IndexError, RecursionError) as error:
        return Err(Failure(ResultCode.MESSAGE_MALFORMED, f"consensus message: {error}"))
    return Ok(ConsensusMessage(frame.source, frame.target, body))
