"""Serves metrics over HTTP and loads the SDK only when they are first read."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from aiohttp import web


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.observability.metrics import Metrics


class MetricsPage:
    """Serves the metrics of a process.

    The OpenTelemetry SDK takes several megabytes and a fifth of a second to load.
    It is loaded by the first read, in a thread, because most processes on small
    hosts are never read. Until then the values are counted in plain objects.
    """

    def __init__(
        self, host: str, zone: str, declare: Callable[[Metrics], None]
    ) -> None:
        """Declare the metrics with ``declare`` when they are first read."""
        self.host = host
        self.zone = zone
        self.declare = declare
        self.metrics: Metrics | None = None
        self.loading = asyncio.Lock()

    async def handle(self, _request: web.BaseRequest) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        async with self.loading:
            if self.metrics is None:
                self.metrics = await asyncio.to_thread(self.load)
        body = self.metrics.exposition()
        return web.Response(body=body, content_type="text/plain", charset="utf-8")

    def load(self) -> Metrics:
        """Load the SDK and declare the metrics."""
        from sassafraswharf.observability.metrics import Metrics

        metrics = Metrics(self.host, self.zone)
        self.declare(metrics)
        return metrics
