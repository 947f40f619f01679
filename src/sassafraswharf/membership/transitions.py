"""State transitions of an upstream."""

from __future__ import annotations

from enum import IntEnum

from sassafraswharf.membership.values import UpstreamState


class UpstreamEvent(IntEnum):
    """Event that may change the state of an upstream."""

    ANNOUNCE = 1
    RESTART = 2
    ADMIT = 3
    DRAIN = 4
    REMOVE = 5
    LOSE = 6


_S = UpstreamState
_E = UpstreamEvent

TRANSITIONS: dict[tuple[UpstreamState, UpstreamEvent], UpstreamState] = {
    (_S.ANNOUNCED, _E.ANNOUNCE): _S.ANNOUNCED,
    (_S.ANNOUNCED, _E.RESTART): _S.ANNOUNCED,
    (_S.ANNOUNCED, _E.ADMIT): _S.ADMITTED,
    (_S.ANNOUNCED, _E.DRAIN): _S.GONE,
    (_S.ANNOUNCED, _E.REMOVE): _S.GONE,
    (_S.ANNOUNCED, _E.LOSE): _S.GONE,
    (_S.ADMITTED, _E.ANNOUNCE): _S.ADMITTED,
    (_S.ADMITTED, _E.RESTART): _S.ADMITTED,
    (_S.ADMITTED, _E.DRAIN): _S.DRAINING,
    (_S.ADMITTED, _E.LOSE): _S.LOST,
    (_S.DRAINING, _E.ANNOUNCE): _S.DRAINING,
    (_S.DRAINING, _E.RESTART): _S.DRAINING,
    (_S.DRAINING, _E.REMOVE): _S.GONE,
    (_S.DRAINING, _E.LOSE): _S.GONE,
    (_S.LOST, _E.RESTART): _S.ADMITTED,
    (_S.LOST, _E.DRAIN): _S.GONE,
    (_S.LOST, _E.REMOVE): _S.GONE,
    (_S.GONE, _E.RESTART): _S.ANNOUNCED,
}
"""State after each event; events that are not listed are refused with code 4002.

The process of an upstream that is lost or gone has ended or was told to leave,
so only a new incarnation of it may return.
"""


def next_state(state: UpstreamState, event: UpstreamEvent) -> UpstreamState | None:
    """Return the state after the event, or None if the event is refused."""
    return TRANSITIONS.get((state, event))
