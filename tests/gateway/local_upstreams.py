"""Local upstreams of routers, as tests set them up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.clock import BootClock
from sassafraswharf.gateway.crash_evidence import CrashEvidence
from sassafraswharf.gateway.key_holds import KeyHolds
from sassafraswharf.gateway.local_upstream import LocalUpstream
from sassafraswharf.platform.names import HEADER_NAMES


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock


DRAIN_S = 2.0


def make_local(
    address: tuple[str, int],
    *,
    clock: Clock | None = None,
    holds: KeyHolds | None = None,
) -> LocalUpstream:
    """Return an upstream that is assigned every key and has sent no heartbeat."""
    return LocalUpstream(
        address,
        HEADER_NAMES,
        holds or KeyHolds(0.0, 4.5, 2.5),
        lambda *_: True,
        clock or BootClock(),
        DRAIN_S,
        CrashEvidence(),
    )
