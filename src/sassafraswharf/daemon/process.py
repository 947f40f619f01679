"""The parts of one process and the sockets that they share."""

from __future__ import annotations

import time

from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import web
from result import Err

from sassafraswharf.clock import BootClock
from sassafraswharf.codes import ResultCode
from sassafraswharf.control.admin_api import AdminApi
from sassafraswharf.control.control_part import ControlPart
from sassafraswharf.exceptions import SettingsError
from sassafraswharf.exceptions import TransportError
from sassafraswharf.failure import Failure
from sassafraswharf.observability.metrics import Metrics
from sassafraswharf.router.router_part import RouterPart
from sassafraswharf.settings.key_file import read_key
from sassafraswharf.transport.authenticator import Authenticator
from sassafraswharf.transport.datagrams import DatagramEndpoint
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.mailbox import Mailbox


if TYPE_CHECKING:
    from sassafraswharf.settings.schema import Settings
    from sassafraswharf.transport.datagrams import Address
    from sassafraswharf.transport.envelope import Envelope


class Process:
    """The router part, the control part, or both, of one host."""

    def __init__(self, settings: Settings) -> None:
        """Read the keys and prepare the parts that the settings select.

        Raises ``SettingsError`` when a key file can't be used.
        """
        self.settings = settings
        key = required_key(settings["key_file"])
        self.clock = BootClock()
        incarnation = time.time_ns()
        bind = settings["bind"]
        self.metrics = Metrics(settings["host"], settings["zone"])
        self.metrics.counter(
            "sassafraswharf_messages_dropped",
            "code",
            "Messages of other processes that were malformed, foreign or replayed",
        )
        authenticator = Authenticator(settings["host"], key, incarnation)
        self.mailbox = Mailbox(
            f"{bind['address']}:{bind['control_port']}",
            authenticator,
            self.on_message,
            self.on_dropped,
        )
        self.datagrams = DatagramEndpoint(
            authenticator, self.on_datagram, self.on_dropped
        )
        self.control: ControlPart | None = None
        self.router: RouterPart | None = None
        self.application = web.Application()
        self.application.router.add_get("/metrics", self.get_metrics)
        if "control" in settings:
            self.control = ControlPart(
                settings, self.mailbox, self.datagrams, self.clock
            )
            operator_key = required_key(settings["operator_key_file"])
            AdminApi(self.control, operator_key).add_routes(self.application)
            self.declare_measures(self.control)
        if "router" in settings:
            self.router = RouterPart(
                settings,
                key,
                incarnation,
                self.mailbox,
                self.datagrams,
                self.clock,
                self.metrics,
            )
            self.application.router.add_get("/v1/router", self.get_router)
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Open all sockets and start the parts.

        Raises ``TransportError`` or ``StorageError``.
        """
        bind = self.settings["bind"]
        self.mailbox.start()
        await self.datagrams.start(bind["address"], bind["lease_port"])
        if self.control is not None:
            await self.control.start()
        if self.router is not None:
            await self.router.start()
        await self.start_admin()

    async def start_admin(self) -> None:
        """Open the admin port."""
        bind = self.settings["bind"]
        runner = web.AppRunner(self.application, access_log=None, handle_signals=False)
        await runner.setup()
        self.runner = runner
        site = web.TCPSite(runner, bind["admin_address"], bind["admin_port"])
        try:
            await site.start()
        except OSError as error:
            raise TransportError(
                Failure(ResultCode.PEER_UNREACHABLE, f"admin port: {error}")
            ) from error

    async def stop(self) -> None:
        """Finish the work in flight, release the lease and close everything."""
        if self.router is not None:
            await self.router.stop()
        if self.control is not None:
            await self.control.stop()
        if self.runner is not None:
            await self.runner.cleanup()
        self.datagrams.stop()
        await self.mailbox.stop()
        self.metrics.close()

    async def on_message(self, envelope: Envelope) -> bytes | None:
        """Pass a control message to the control part."""
        if self.control is None:
            return None
        return await self.control.handle(envelope)

    def on_datagram(self, envelope: Envelope, address: Address) -> None:
        """Pass a lease message to the part that it is for."""
        if envelope.kind == MessageKind.LEASE_RENEWAL:
            if self.control is not None:
                self.control.on_renewal(envelope, address)
        elif self.router is not None:
            self.router.control_link.on_datagram(envelope)

    def on_dropped(self, failure: Failure) -> None:
        """Count a message that was dropped."""
        self.metrics.add("sassafraswharf_messages_dropped", str(int(failure.code)))

    def declare_measures(self, control: ControlPart) -> None:
        """Declare the users' three measures as gauges of the control part."""

        def read(*fields: str) -> dict[str, float]:
            totals = control.totals()
            return {field: totals[field] for field in fields}

        self.metrics.gauge(
            "sassafraswharf_unavailable_slot_seconds",
            lambda: read("unavailable_slot_s", "closing_slot_s"),
            "kind",
            "Time during which slots could not be served, summed over slots",
            "s",
        )
        self.metrics.gauge(
            "sassafraswharf_churn_slots",
            lambda: read("slots_moved", "slots_returned", "slots_assigned"),
            "kind",
            "Slots that changed their owner",
        )
        self.metrics.gauge(
            "sassafraswharf_imbalance_ratio",
            control.imbalance,
            "service",
            "Highest load per speed of an upstream over the mean of the service",
        )

    async def get_metrics(self, _request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(
            body=self.metrics.exposition(), content_type="text/plain", charset="utf-8"
        )

    async def get_router(self, _request: web.Request) -> web.Response:
        """Return what the router part of this process knows."""
        if self.router is None:
            return web.json_response({}, status=404)
        return web.json_response(self.router.describe())


def required_key(path: str) -> bytes:
    """Return the key in a file; raises ``SettingsError`` when it can't be used."""
    key = read_key(Path(path))
    if isinstance(key, Err):
        raise SettingsError(key.err_value)
    return key.ok_value
