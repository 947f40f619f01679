"""Settings of a process that finds the others from seeds.

They differ from ``schema.py`` in what a host is told: three control addresses
instead of the list of all control hosts, and no key files.
"""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]
PortNumber = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class UpstreamSettings(TypedDict):
    """The upstream beside the process."""

    service: Text
    address: Text


class NodeSettings(TypedDict):
    """Settings of one process, as they stand in its file.

    Addresses are ``ip:port``. ``listen`` maps what the process serves to the
    address that it listens on. ``bounds`` holds the agreed terms; durations are
    texts such as ``870ms``.
    """

    host: Text
    zone: Text
    region: str
    address: Text
    first_start: bool
    data_folder: NotRequired[Text]
    upstream: NotRequired[UpstreamSettings]
    control_seeds: list[str]
    peer_ports: Annotated[list[PortNumber], msgspec.Meta(min_length=2, max_length=2)]
    listen: dict[str, str]
    metrics_port: NotRequired[PortNumber]
    heartbeat_interval: str
    tolerated_hosts: Annotated[int, msgspec.Meta(ge=0, le=1_000)]
    bounds: dict[str, str | int | float | bool]


class Terms(NamedTuple):
    """The agreed terms that decisions use; times are in seconds."""

    heartbeat_s: float = 1.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    configuration_s: float = 2.0
    hold_limit_s: float = 10.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0


class Node(NamedTuple):
    """Checked settings; ``seeds`` are ``(ip, port)`` of control hosts."""

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
    listen: dict[str, tuple[str, int]]
    metrics_port: int
    tolerated_hosts: int
    terms: Terms
