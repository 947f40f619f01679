"""One cell of a control host and the decisions of its leader."""

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
"""The slots of a lost zone take several ticks, which should follow at once."""
COMMAND_TIMEOUT_S: Final = 1.0


class CellReplica:
    """State, lease desk and controller of one cell.

    The controller runs only on the leader: it proposes commands and waits
    until all of them are applied before it decides again, so no command is
    decided twice.
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
        """Decide in the background; the group must have been started."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Decide nothing more."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def on_role_change(self, is_leader: bool, term: int) -> None:
        """Follow the leadership of the group."""
        logging.info("leader of %s: %s, term %d", self.name, is_leader, term)
        self.controller = CellController()
        self.configured_revision = 0
        self.lease_handler.on_role_change(is_leader=is_leader, term=term)

    async def run(self) -> None:
        """Decide as the leader of the cell until cancelled."""
        while True:
            await asyncio.sleep(BUSY_TICK_S if self.is_busy else CONTROLLER_TICK_S)
            try:
                self.is_busy = await self.run_tick()
            except Exception:
                logging.exception("the cell controller failed")

    async def run_tick(self) -> bool:
        """Propose what the controller decides, tell the hosts.

        Returns whether there was anything to decide.
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
        """Bring services, weights and limits of a new revision into the cell."""
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
        # A commit that failed is repeated by the next tick.
        if self.state.revision >= newest.revision:
            self.configured_revision = newest.revision

    def configure(self, document: DeploymentDocument) -> None:
        """Use the weights and limits of a configuration."""
        placement = document["placement"]
        self.controller.configure(
            Weights(**document["weights"]),
            PlannerLimits(
                moves_per_minute=placement["moves_per_minute"],
                min_benefit=placement["minimum_benefit"],
            ),
        )

    def imbalance(self) -> dict[str, float]:
        """Return the highest load per speed over the mean, per service.

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
    """Return what a cell needs to know of a service."""
    return ServiceSpec(
        ServiceName(service["name"]), service["slot_count"], service["admit"] == "any"
    )
