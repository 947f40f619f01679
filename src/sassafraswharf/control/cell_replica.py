"""A control host's replica of one cell, and the control loop of the cell's leader."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING
from typing import Final

from absl import logging
from result import Err

from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.commands import ServiceSpec
from sassafraswharf.cell.commands import SetServices
from sassafraswharf.cell.controller import CellController
from sassafraswharf.configuration.validation import decode_document
from sassafraswharf.control.lease_handler import LeaseHandler
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.leases.messages import LeaseTiming
from sassafraswharf.placement.values import PlannerLimits
from sassafraswharf.placement.values import Weights


if TYPE_CHECKING:
    from sassafraswharf.cell.commands import Command
    from sassafraswharf.cell.state import CellState
    from sassafraswharf.clock import Clock
    from sassafraswharf.configuration.documents import DeploymentDocument
    from sassafraswharf.configuration.documents import ServiceDocument
    from sassafraswharf.configuration.state import ConfigurationState
    from sassafraswharf.consensus.group_task import GroupTask
    from sassafraswharf.identifiers import GroupId
    from sassafraswharf.transport.datagrams import DatagramEndpoint


CONTROLLER_TICK_S: Final = 0.05
BUSY_TICK_S: Final = 0.01
"""Reassigning the slots of a lost zone takes several ticks in quick succession."""
COMMAND_TIMEOUT_S: Final = 1.0


class CellReplica:
    """State, lease handler and controller of one cell.

    The controller runs only on the leader. It waits until all commands that it
    proposed have been applied before its next tick, so that no command is
    proposed twice.
    """

    def __init__(
        self,
        name: GroupId,
        group: GroupTask,
        state: CellState,
        configuration: ConfigurationState,
        datagrams: DatagramEndpoint,
        clock: Clock,
    ) -> None:
        """Follow the leadership of ``group``, whose state machine is ``state``."""
        self.name = name
        self.group = group
        self.state = state
        self.configuration = configuration
        self.datagrams = datagrams
        self.clock = clock
        self.lease_handler = LeaseHandler(
            group, state, LeaseTiming(), clock, lambda: configuration.revision
        )
        group.on_role_change = self.on_role_change
        self.controller = CellController()
        self.configured_revision = 0
        self.notified_version = 0
        self.is_busy = False
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the control loop; the group must have been started."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop the control loop."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def on_role_change(self, is_leader: bool, term: int) -> None:
        """Reset the controller and the lease handler for a new role or term."""
        logging.info("leader of %s: %s, term %d", self.name, is_leader, term)
        self.controller = CellController()
        self.configured_revision = 0
        self.lease_handler.on_role_change(is_leader=is_leader, term=term)

    async def run(self) -> None:
        """Run the control loop until cancelled."""
        while True:
            await asyncio.sleep(BUSY_TICK_S if self.is_busy else CONTROLLER_TICK_S)
            try:
                self.is_busy = await self.run_tick()
            except Exception:
                logging.exception("the cell controller failed")

    async def run_tick(self) -> bool:
        """Propose the controller's commands and notify hosts of a new table.

        Returns whether the controller issued any commands.
        Does nothing unless this replica is the current leader.
        """
        if not self.group.is_current_leader():
            return False
        await self.apply_configuration()
        expired = self.lease_handler.expired_sessions()
        commands = self.controller.tick(
            self.state,
            list(expired),
            self.lease_handler.loads,
            self.clock.now(),
            time.time(),
            expired,
        )
        if commands:
            await asyncio.gather(
                *(self.commit_command(command) for command in commands)
            )
            self.lease_handler.sync_sessions()
        if self.state.version != self.notified_version:
            self.notified_version = self.state.version
            self.lease_handler.notify_hosts(self.name, self.datagrams)
        return bool(commands)

    async def commit_command(self, command: Command) -> None:
        """Commit a command of the controller."""
        reply = await self.group.propose(encode_command(command), COMMAND_TIMEOUT_S)
        if isinstance(reply, Err):
            logging.warning("%s: %s", type(command).__name__, reply.err_value)

    async def apply_configuration(self) -> None:
        """Apply the services, weights and limits of a new revision to the cell."""
        newest = self.configuration.history.newest
        if newest is None or newest.revision == self.configured_revision:
            return
        document = decode_document(newest.document)
        if isinstance(document, Err):
            logging.error("revision %d: %s", newest.revision, document.err_value)
            return
        self.configure(document.ok_value)
        if self.state.revision < newest.revision:
            specs = tuple(map(build_service_spec, document.ok_value["services"]))
            await self.commit_command(
                SetServices(newest.revision, specs, at=time.time())
            )
        # A failed commit is retried at the next tick.
        if self.state.revision >= newest.revision:
            self.configured_revision = newest.revision

    def configure(self, document: DeploymentDocument) -> None:
        """Set the weights and limits of the placement planner."""
        placement = document["placement"]
        self.controller.configure(
            Weights(**document["weights"]),
            PlannerLimits(
                moves_per_minute=placement["moves_per_minute"],
                min_benefit=placement["minimum_benefit"],
            ),
        )

    def imbalance(self) -> dict[str, float]:
        """Return, per service, the highest load per speed divided by the mean.

        1.0 is perfect balance; a service without reported load counts as 1.0.
        """
        found = {}
        now = self.clock.now()
        for service in self.state.services:
            members = [u for u in self.state.upstreams.values() if u.service == service]
            names = {upstream.upstream for upstream in members}
            loads = self.lease_handler.loads.upstream_loads(members, names, now)
            shares = [load.load / load.speed for load in loads if load.speed > 0]
            mean = sum(shares) / len(shares) if shares else 0.0
            found[str(service)] = max(shares) / mean if mean > 0 else 1.0
        return found


def build_service_spec(service: ServiceDocument) -> ServiceSpec:
    """Return the fields of a service that the cell's state machine uses."""
    return ServiceSpec(
        ServiceName(service["name"]), service["slot_count"], service["admit"] == "any"
    )
