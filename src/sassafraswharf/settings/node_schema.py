"""Schema of the settings of a process that discovers others by seeds.

Unlike those of ``schema.py``, they have three control addresses instead of the
list of all control hosts, and no key files.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]
PortNumber = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class UpstreamSettings(TypedDict):
    """The upstream on the host of the process."""

    service: Text
    address: Text


class ListenSettings(TypedDict):
    """Addresses that a process listens on, ``ip:port``; ``None`` if it doesn't."""

    callers: str | None
    readiness: str | None
    control: Text


class TermsSettings(TypedDict):
    """Timing and retry parameters of the fleet; durations are texts such as ``870ms``.

    A term that is ``None`` or left out keeps its default.
    """

    heartbeat: NotRequired[str | None]
    drain: NotRequired[str | None]
    grace: NotRequired[str | None]
    hold_limit: NotRequired[str | None]
    retry_ratio: NotRequired[float | None]
    retry_slack: NotRequired[float | None]
    retry_window: NotRequired[str | None]


class NodeSettings(TypedDict):
    """Settings of one process, as written in its file.

    ``upstream`` is present on hosts of an upstream, ``data_folder`` on hosts with
    a disk. ``first_start`` is true when the whole fleet starts for the first time.
    ``control_seeds`` are addresses, ``ip:port``, of some control hosts.
    ``grants`` says how the upstream is told which keys it holds: in the answers to
    its heartbeats, as without this field, or by calls.
    """

    host: Text
    zone: Text
    region: str
    address: Text
    first_start: bool
    data_folder: NotRequired[Text | None]
    upstream: NotRequired[UpstreamSettings]
    control_seeds: list[str]
    peer_ports: Annotated[list[PortNumber], msgspec.Meta(min_length=2, max_length=2)]
    listen: ListenSettings
    metrics_port: NotRequired[PortNumber]
    tolerated_hosts: Annotated[int, msgspec.Meta(ge=0, le=1_000)]
    terms: TermsSettings
    grants: NotRequired[Literal["heartbeat", "call"] | None]


class Terms(NamedTuple):
    """Timing and retry parameters of the fleet; times are in seconds.

    ``heartbeat_s`` is the period of heartbeats, ``drain_s`` how long a leaving
    upstream takes requests, ``grace_s`` the time between SIGTERM and SIGKILL and
    ``hold_limit_s`` the longest hold. Repeats are bounded by ``retry_ratio`` of
    the requests of ``retry_window_s`` and ``retry_slack``, for the whole fleet.
    """

    heartbeat_s: float = 1.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    hold_limit_s: float = 10.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0


class Listen(NamedTuple):
    """Listening addresses and ports; ``None`` for what is not served."""

    callers: tuple[str, int] | None
    readiness: tuple[str, int] | None
    control: tuple[str, int]


class Node(NamedTuple):
    """Checked settings; ``seeds`` are ``(ip, port)`` of control hosts.

    ``grants_by_call`` means that keys are granted by calls to the upstream.
    """

    host: str
    zone: str
    region: str
    address: str
    first_start: bool
    data_folder: str | None
    upstream: UpstreamSettings | None
    seeds: tuple[tuple[str, int], ...]
    first_peer_port: int
    last_peer_port: int
    listen: Listen
    metrics_port: int
    tolerated_hosts: int
    terms: Terms
    grants_by_call: bool = False


TERM_FIELDS: Final = {
    "heartbeat": "heartbeat_s",
    "drain": "drain_s",
    "grace": "grace_s",
    "hold_limit": "hold_limit_s",
    "retry_ratio": "retry_ratio",
    "retry_slack": "retry_slack",
    "retry_window": "retry_window_s",
}
"""Maps fields of ``TermsSettings`` to those of ``Terms``."""
