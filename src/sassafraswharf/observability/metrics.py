"""Metrics of a process, in OpenTelemetry and readable over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY
from prometheus_client import generate_latest


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from opentelemetry.metrics import CallbackOptions


class Metrics:
    """Counters and gauges of one process.

    Counting a request adds to a plain dictionary; OpenTelemetry reads the
    dictionary when the metrics are collected. A counter call of the SDK costs
    several microseconds, which the request path does not pay this way.
    """

    def __init__(self, host: str, zone: str) -> None:
        """Create the meter of the process with its host and zone."""
        self.reader = PrometheusMetricReader()
        resource = Resource({"service.name": "sassafraswharf", "host": host})
        self.provider = MeterProvider([self.reader], resource)
        self.meter = self.provider.get_meter("sassafraswharf")
        self.attributes = {"host": host, "zone": zone}
        self.counts: dict[str, dict[str, int]] = {}

    def counter(self, name: str, label: str, description: str, unit: str = "1") -> None:
        """Declare a counter that is split by one label."""
        values = self.counts.setdefault(name, {})

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {**self.attributes, label: key})
                for key, value in values.items()
            ]

        self.meter.create_observable_counter(name, [observe], unit, description)

    def add(self, name: str, key: str, amount: int = 1) -> None:
        """Add to a declared counter."""
        values = self.counts[name]
        values[key] = values.get(key, 0) + amount

    def observe(
        self,
        name: str,
        read: Callable[[], Iterable[tuple[int, Mapping[str, str]]]],
        description: str,
        unit: str = "1",
    ) -> None:
        """Declare a counter whose values and labels are read when collected."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {**self.attributes, **labels})
                for value, labels in read()
            ]

        self.meter.create_observable_counter(name, [observe], unit, description)

    def gauge(
        self,
        name: str,
        read: Callable[[], Mapping[str, float]],
        label: str,
        description: str,
        unit: str = "1",
    ) -> None:
        """Declare a gauge whose values are read when metrics are collected."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {**self.attributes, label: key})
                for key, value in read().items()
            ]

        self.meter.create_observable_gauge(name, [observe], unit, description)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Stop collecting."""
        self.provider.shutdown()
