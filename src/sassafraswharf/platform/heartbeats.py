"""Codec of endpoint heartbeats, deregistrations and the grants in the responses."""

# msgspec resolves the annotations of decoded values when the program runs.
# ruff: noqa: TC001

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import NotRequired
from typing import TypedDict

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.values import KEY_COUNT
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.heartbeat import Grant
from sassafraswharf.gateway.heartbeat import Heartbeat
from sassafraswharf.platform.json_values import Count
from sassafraswharf.platform.json_values import NonNegative
from sassafraswharf.settings.durations import format_duration
from sassafraswharf.settings.durations import parse_duration
from sassafraswharf.settings.node_loader import parse_address


DRAINING_BY_STATE: Final = {"ready": False, "draining": True}
DECODE_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

Key = Annotated[int, msgspec.Meta(ge=0, lt=KEY_COUNT)]
"""A key of a service, also as the bound of a range."""


class HeartbeatDocument(TypedDict):
    """Body of a heartbeat, in which an endpoint reports its state.

    ``born`` is the start time of the endpoint in milliseconds since the epoch.
    ``holds`` includes key ranges with requests in flight. The last field of
    ``released`` is the handover token that warms the keys for their next owner.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Count
    state: str
    coldRemaining: str
    sequence: NonNegative
    born: NotRequired[NonNegative]
    holds: NotRequired[list[tuple[Key, Key, NonNegative]]]
    released: NotRequired[list[tuple[Key, Key, str]]]


class LeaveDocument(TypedDict):
    """Body of a deregistration."""

    born: NotRequired[NonNegative]


HEARTBEAT_DECODER = msgspec.json.Decoder(HeartbeatDocument)
LEAVE_DECODER = msgspec.json.Decoder(LeaveDocument)


def decode_heartbeat(endpoint_id: str, body: bytes) -> Result[Heartbeat, str]:
    """Decode the heartbeat of an endpoint, or return why it is malformed."""
    try:
        document = HEARTBEAT_DECODER.decode(body)
    except DECODE_ERRORS as error:
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
    """Decode the instance that deregisters; the body may be empty or malformed."""
    try:
        document = LEAVE_DECODER.decode(body) if body else LeaveDocument()
    except DECODE_ERRORS:
        document = LeaveDocument()
    return Instance(endpoint_id, document.get("born", 0))


def encode_grant(grant: Grant | None) -> bytes:
    """Encode the response to a heartbeat."""
    if grant is None:
        return b"{}"
    return msgspec.json.encode(
        {"holds": grant.rows, "hold_time": format_duration(grant.hold_s)}
    )
