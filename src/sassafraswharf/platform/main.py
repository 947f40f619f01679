"""Entry point of router and control processes on the provider's platform."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys

from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from result import Err

from sassafraswharf.clock import BootClock
from sassafraswharf.codes import ResultCode
from sassafraswharf.daemon.endless_task import run_endlessly
from sassafraswharf.daemon.garbage_collection import tune_garbage_collection
from sassafraswharf.exceptions import SassafraswharfError
from sassafraswharf.exceptions import SettingsError
from sassafraswharf.failure import Failure
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.observability.json_log import configure_logging
from sassafraswharf.observability.metrics_page import MetricsPage
from sassafraswharf.platform import names
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.router.http_server import HttpServer
from sassafraswharf.settings.node_loader import load_node
from sassafraswharf.settings.node_loader import parse_address


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp import web

    from sassafraswharf.observability.metrics import Metrics
    from sassafraswharf.settings.node_schema import Node

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


EXIT_SETTINGS_REFUSED = 2
EXIT_START_FAILED = 3
STDOUT_DESCRIPTOR = 1
SETTINGS_POLL_INTERVAL_S = 1.0
MAX_BODY_BYTES = 16_777_216
"""Limit for configurations of operators."""
MAX_PING_BYTES = 1_048_576
"""An upstream that sends without end must not take the memory of other requests."""
MAX_HEADER_BYTES = 16_384
HEADER_TIMEOUT_S = 5.0


def main() -> None:
    """Run one role until SIGTERM.

    The exit status is 0 after a planned stop, 2 when the settings are refused
    and 3 when a socket or a file can't be opened.
    """
    parser = argparse.ArgumentParser(prog="node.py")
    parser.add_argument("role", choices=["router", "control"])
    role = parser.parse_args().role
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    loaded = load_node(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f"sassafraswharf: {loaded.err_value}\n")
        sys.exit(EXIT_SETTINGS_REFUSED)
    node = loaded.ok_value
    configure_logging(node.host, "info")
    run = run_router if role == "router" else run_control
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status = runner.run(run_until_stopped(node, run))
    sys.exit(status)


async def run_until_stopped(
    node: Node,
    run: Callable[[Node, DecisionLog, asyncio.Event], Awaitable[None]],
) -> int:
    """Run a role until a stop signal and return the exit status."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    log = DecisionLog(node.host, STDOUT_DESCRIPTOR)
    log.start()
    log.record("start", address=node.address, first_start=node.first_start)
    try:
        await run(node, log, stop)
    except SassafraswharfError as error:
        log.record("start_failed", why=str(error))
        return EXIT_START_FAILED
    finally:
        log.record("stop")
        await log.stop()
    return 0


async def run_router(node: Node, log: DecisionLog, stop: asyncio.Event) -> None:
    """Run the router of one endpoint until ``stop`` is set."""
    from sassafraswharf.gateway import router_metrics
    from sassafraswharf.gateway.router_node import RouterNode
    from sassafraswharf.platform.endpoint_api import EndpointApi
    from sassafraswharf.platform.hold_calls import HoldCalls

    upstream = None
    if node.upstream is not None:
        upstream = parse_address(node.upstream["address"]).unwrap()
    router = RouterNode(
        node,
        names.HEADER_NAMES,
        DocumentReader(),
        upstream,
        BootClock(),
        log,
        HoldCalls() if node.grants_by_call else None,
    )
    api = EndpointApi(router, log)
    control = create_server(api.handle_control, MAX_PING_BYTES)
    readiness = create_server(api.handle_readiness, MAX_PING_BYTES)
    callers, ready = node.listen.callers, node.listen.readiness
    if callers is None or ready is None:
        reason = "listen.callers and listen.readiness are required beside an upstream"
        raise SettingsError(Failure(ResultCode.SETTINGS_MISSING_FIELD, reason))
    await control.start(*node.listen.control)
    await readiness.start(*ready)
    await router.start(callers)
    metrics = await start_metrics(
        node, lambda metrics: router_metrics.declare(metrics, router)
    )
    watching = asyncio.create_task(
        run_endlessly("settings", lambda: watch_settings(node, log, router.on_settings))
    )
    tune_garbage_collection()
    await stop.wait()
    watching.cancel()
    await router.stop()
    for server in (control, readiness, metrics):
        await server.stop()


async def run_control(node: Node, log: DecisionLog, stop: asyncio.Event) -> None:
    """Run a control host until ``stop`` is set."""
    from sassafraswharf.fleet import control_metrics
    from sassafraswharf.fleet.control_node import ControlNode
    from sassafraswharf.platform.operator_api import OperatorApi

    control = ControlNode(node, DocumentReader(), BootClock(), log)
    address = node.listen.control
    api = OperatorApi(control, address[1])
    server = create_server(api.handle)
    await control.start()
    await server.start(*address)
    metrics = await start_metrics(
        node, lambda metrics: control_metrics.declare(metrics, control)
    )
    watching = asyncio.create_task(
        run_endlessly("settings", lambda: watch_settings(node, log, lambda _: None))
    )
    tune_garbage_collection()
    await stop.wait()
    watching.cancel()
    await server.stop_accepting()
    await control.stop()
    await server.stop()
    await metrics.stop()


async def start_metrics(node: Node, declare: Callable[[Metrics], None]) -> HttpServer:
    """Serve the metrics of the process, if its settings name a port."""
    page = MetricsPage(node.host, node.zone, declare)
    server = create_server(page.handle)
    if node.metrics_port:
        await server.start(node.address, node.metrics_port)
    return server


async def watch_settings(
    node: Node, log: DecisionLog, on_change: Callable[[Node], None]
) -> None:
    """Poll the settings file, because changes may come without a signal.

    An unreadable file is logged once and the previous settings stay in force.
    """
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    seen = node
    refused = ""
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        loaded = load_node(path)
        if isinstance(loaded, Err):
            why = str(loaded.err_value)
            if why != refused:
                log.record("reload_refused", why=why)
            refused = why
        elif loaded.ok_value != seen:
            seen = loaded.ok_value
            log.record("reload", seeds=[ip for ip, _ in seen.seeds])
            on_change(seen)


def create_server(handler: Handler, max_body_bytes: int = MAX_BODY_BYTES) -> HttpServer:
    """Create an HTTP server for endpoints, operators and the provider.

    A longer body is answered with 413.
    """
    return HttpServer(
        handler,
        max_body_bytes=max_body_bytes,
        max_header_bytes=MAX_HEADER_BYTES,
        header_timeout_s=HEADER_TIMEOUT_S,
    )
