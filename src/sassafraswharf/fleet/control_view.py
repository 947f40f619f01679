"""The interface of a control host that read requests use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.coordinator import Coordinator
    from sassafraswharf.fleet.fleet_state import FleetState
    from sassafraswharf.settings.node_schema import Node


class ControlView(Protocol):
    """The state of a control host that read requests use.

    ``heard_at`` maps the address of a member to the time of its last message.
    """

    node: Node
    clock: Clock
    state: FleetState
    coordinator: Coordinator
    heard_at: dict[str, float]

    @property
    def leads(self) -> bool:
        """Return whether this control host is the leader and has the newest state."""

    @property
    def leader_address(self) -> str:
        """Return the IP address of the leader, empty if it is unknown."""

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the IP addresses of the members of the group."""
