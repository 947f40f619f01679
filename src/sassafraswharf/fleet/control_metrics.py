"""The metrics of a control host."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from sassafraswharf.fleet.control_node import ControlNode
    from sassafraswharf.observability.metrics import Metrics


def declare(metrics: Metrics, control: ControlNode) -> None:
    """Declare all metrics of a control host; values are read on collection."""
    metrics.gauge(
        "sassafraswharf_control_state",
        lambda: state(control),
        "what",
        "Leadership, term, log, voters, versions in force and routers heard",
    )
    control.feed.traffic.declare(metrics)
    metrics.gauge(
        "sassafraswharf_owner_busy_ratio",
        lambda: {
            name: share
            for shares in control.coordinator.utilisation_by_service.values()
            for name, share in shares.items()
        },
        "upstream",
        "Share of the slots that the keys of an owner keep at work; the leader",
    )


def state(control: ControlNode) -> dict[str, float]:
    """Return the values of the control state gauge."""
    group = control.group
    now = control.clock.now()
    return {
        "leads": float(group.is_current_leader()),
        "term": float(group.term),
        "applied_index": float(group.applied_index),
        "voters": float(len(group.voters.voters)),
        "learners": float(len(group.voters.learners)),
        "can_acknowledge": float(control.can_acknowledge()),
        "table_version": float(control.state.fleet.version),
        "configuration_revision": float(control.state.plan.version),
        "routers_heard": float(len(control.coordinator.live_sessions(now))),
        "log_lines_dropped": float(control.log.dropped),
    }
