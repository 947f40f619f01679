"""Heartbeats of endpoints and the answers to them."""

from __future__ import annotations

from typing import Final
from typing import NotRequired
from typing import TypedDict

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.heartbeat import Grant
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.settings.durations import format_duration
from sassafraswharf.settings.durations import parse_duration
from sassafraswharf.settings.node_loader import parse_address


DRAINING_BY_STATE: Final = {"ready": False, "draining": True}


class HeartbeatDocument(TypedDict):
    """What an endpoint says of itself.

    ``born`` is the start of its life in milliseconds since the epoch. ``holds``
    also has what it still works on. The last field of ``released`` is the token
    that makes the keys warm for their next owner.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    coldRemaining: str
    sequence: int
    born: NotRequired[int]
    holds: NotRequired[list[tuple[int, int, int]]]
    released: NotRequired[list[tuple[int, int, str]]]


class LeaveDocument(TypedDict):
    """What an endpoint says when it leaves."""

    born: NotRequired[int]


HEARTBEAT_DECODER = msgspec.json.Decoder(HeartbeatDocument)
LEAVE_DECODER = msgspec.json.Decoder(LeaveDocument)


def decode_heartbeat(endpoint_id: str, body: bytes) -> Result[Heartbeat, str]:
    """Return the heartbeat of an endpoint, or why it can't be read."""
    try:
        document = HEARTBEAT_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))
    draining = DRAINING_BY_STATE.get(document["state"])
    if draining is None:
        return Err(f"unknown state {document['state']!r}")
    address = parse_address(document["address"])
    if isinstance(address, Err):
        return address
    cold = parse_duration(document["coldRemaining"])
    if isinstance(cold, Err):
        return cold
    if not endpoint_id or document["slots"] < 1:
        return Err("an endpoint without an id or without slots")
    return Ok(
        Heartbeat(
            Instance(endpoint_id, document.get("born", 0)),
            document["service"],
            address.ok_value,
            document["slots"],
            draining,
            cold.ok_value,
            document["sequence"],
            tuple(HeldRow(*row) for row in document.get("holds", ())),
            tuple(ReleasedRow(*row) for row in document.get("released", ())),
        )
    )


def decode_leave(endpoint_id: str, body: bytes) -> Instance:
    """Return the endpoint that leaves; its body may be empty."""
    try:
        document = LEAVE_DECODER.decode(body) if body else LeaveDocument()
    except (msgspec.DecodeError, UnicodeDecodeError):
        document = LeaveDocument()
    return Instance(endpoint_id, document.get("born", 0))


def encode_grant(grant: Grant | None) -> bytes:
    """Return the answer to a heartbeat."""
    if grant is None:
        return b"{}"
    return msgspec.json.encode(
        {"holds": grant.rows, "hold_time": format_duration(grant.hold_s)}
    )
