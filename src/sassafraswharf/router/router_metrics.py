"""Declares the metrics of the router."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sassafraswharf.observability.metrics import Metrics
    from sassafraswharf.router.latency import LatencyHistogram
    from sassafraswharf.router.router_part import RouterPart
    from sassafraswharf.router.upstream_runner import UpstreamRunner


REQUESTS: Final = "sassafraswharf_requests"
RETRIES: Final = "sassafraswharf_attempts"


def declare(metrics: Metrics, router: RouterPart, latency: LatencyHistogram) -> None:
    """Declare all metrics of a router; gauges are read on collection."""
    metrics.counter(REQUESTS, "code", "Requests of callers by result code")
    metrics.counter(RETRIES, "reason", "Further attempts after the first one")
    metrics.observe(
        "sassafraswharf_request_latency",
        latency.read,
        "Requests answered within le seconds, by service and kind",
    )
    readings: dict[str, tuple[Callable[[UpstreamRunner], float], str]] = {
        "sassafraswharf_upstream_running": (
            lambda runner: len(runner.running),
            "Requests at work on an upstream beside this router",
        ),
        "sassafraswharf_upstream_waiting": (
            lambda runner: len(runner.admission.waiting),
            "Requests that wait for an upstream beside this router",
        ),
        "sassafraswharf_upstream_limit": (
            lambda runner: runner.admission.limit.limit,
            "Requests that an upstream may work on at a time",
        ),
    }
    for name, (reading, description) in readings.items():
        metrics.gauge(name, by_upstream(router, reading), "upstream", description)
    metrics.gauge(
        "sassafraswharf_router_state",
        lambda: router_state(router),
        "what",
        "Lease remaining in seconds, table version, revision, journal size",
    )


def by_upstream(
    router: RouterPart, reading: Callable[[UpstreamRunner], float]
) -> Callable[[], Mapping[str, float]]:
    """Return a function that reads a value of each upstream."""
    return lambda: {
        str(name): float(reading(runner))
        for name, runner in router.local_service.runners.items()
    }


def router_state(router: RouterPart) -> dict[str, float]:
    """Return the values of the router state gauge."""
    remaining_s = router.holder.expires_at - router.clock.now()
    return {
        "lease_remaining_s": max(0.0, remaining_s),
        "table_version": float(router.view.version),
        "configuration_revision": float(router.view.revision),
        "journal_records": float(len(router.journal_coordinator.store.recorded_at)),
        "journal_bytes": float(router.journal_coordinator.store.bytes),
    }
