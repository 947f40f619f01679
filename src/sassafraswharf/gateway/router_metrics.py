"""Declares the metrics of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from sassafraswharf.gateway.router_node import RouterNode
    from sassafraswharf.observability.metrics import Metrics


def declare(metrics: Metrics, router: RouterNode) -> None:
    """Declare all metrics of a router; values are read at collection."""
    tally = router.ingress.tally
    metrics.observe(
        "sassafraswharf_requests",
        lambda: labelled("code", tally.codes),
        "Requests of callers by result code",
    )
    metrics.observe(
        "sassafraswharf_attempts",
        lambda: labelled("reason", tally.attempts),
        "Further attempts after the first one",
    )
    metrics.observe(
        "sassafraswharf_reports",
        lambda: labelled("outcome", router.link.outcomes),
        "Reports to the control group that were answered, or where they failed",
    )
    metrics.observe(
        "sassafraswharf_report_answers_bytes",
        lambda: [(router.link.received_bytes, {})],
        "Bytes of answers to reports, those of failed ones included",
    )
    router.hop_client.traffic.declare(metrics)
    delivery = router.delivery
    if delivery is not None:
        metrics.observe(
            "sassafraswharf_hold_calls",
            lambda: labelled("outcome", delivery.outcomes),
            "Calls that granted keys to the upstream or took them back",
        )
    metrics.observe(
        "sassafraswharf_route_requests",
        lambda: labelled("route", tally.routes),
        "Requests of callers by route",
    )
    metrics.observe(
        "sassafraswharf_request_latency",
        tally.latency.read,
        "Requests answered within le seconds, by service and kind",
    )
    metrics.gauge(
        "sassafraswharf_router_state",
        lambda: state(router),
        "what",
        "Lease remaining in seconds, versions in force, holds and queue",
    )


def labelled(
    label: str, values: Mapping[str, int]
) -> Iterator[tuple[int, Mapping[str, str]]]:
    """Yield each count with its name as the value of ``label``."""
    for name, value in values.items():
        yield value, {label: name}


def state(router: RouterNode) -> dict[str, float]:
    """Return the unlabelled values of a router's state."""
    now = router.clock.now()
    local = router.local
    values = {
        "lease_remaining_s": max(0.0, router.link.lease_until - now),
        "table_version": float(router.view.fleet.version),
        "configuration_revision": float(router.view.plan.version),
        "log_lines_dropped": float(router.log.dropped),
    }
    if local is not None:
        values |= {
            "upstream_running": float(local.queue.running),
            "upstream_waiting": float(len(local.queue.waiting)),
            "upstream_limit": float(local.queue.limit),
            "upstream_service_s": local.queue.service_s,
            "upstream_connections_opened": float(local.pool.opened),
            "held_rows": float(len(local.holds.routable_until)),
        }
    return values
