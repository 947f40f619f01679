"""What reads need of a control host."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.coordinator import Coordinator
    from sassafraswharf.fleet.fleet_state import FleetState
    from sassafraswharf.settings.node_schema import Node


class ControlView(Protocol):
    """What reads need of a control host.

    ``heard_at`` has the instant of the last message by address of a member.
    """

    node: Node
    clock: Clock
    state: FleetState
    coordinator: Coordinator
    heard_at: dict[str, float]

    @property
    def leads(self) -> bool:
        """Return whether this control host leads and knows the newest state."""

    @property
    def leader_address(self) -> str:
        """Return the IP address of the leader, empty if it is not known."""

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the IP addresses of the members of the group."""
