"""Calculated cost of each role at full size, as rows of a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf_bench.sizing import arithmetic


if TYPE_CHECKING:
    from sassafraswharf_bench.sizing.arithmetic import Slopes
    from sassafraswharf_bench.sizing.targets import Assumptions
    from sassafraswharf_bench.sizing.targets import Targets


ROLE_HEADER = ("role", "state", "messages", "processor time", "memory", "mechanism")


def cores(value: float) -> str:
    """Return a share of a core as a percentage with two significant digits."""
    return f"{value * 100:.2g}% of a core"


def megabytes(value: float) -> str:
    """Return bytes as MB."""
    return f"{value / 1e6:.1f} MB"


def kilobytes_per_s(value: float) -> str:
    """Return bytes per second as KB/s."""
    return f"{value / 1e3:.2f} KB/s"


def role_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    """Return one row per role at full size."""
    return [
        _router(targets, assumed, slopes),
        *_cell_roles(targets, assumed, slopes),
        _configuration_leader(targets, assumed, slopes),
        _control_host(targets, assumed, slopes),
    ]


def _router(targets: Targets, assumed: Assumptions, slopes: Slopes) -> tuple[str, ...]:
    lease = arithmetic.leases(targets, assumed, slopes)
    memory = arithmetic.router_memory(targets, assumed, slopes)
    control = lease.host_cores + assumed.announcements_per_s * slopes["journal_peer_s"]
    return (
        "router (control work)",
        (
            f"{assumed.services} tables of {assumed.slot_count:,} slots, "
            f"{targets.nodes:,} sessions and upstreams, journal"
        ),
        (
            f"{assumed.renewals_per_s:g} renewals/s, "
            f"{kilobytes_per_s(lease.host_bytes_per_s)} with acknowledgements; "
            f"{assumed.announcements_per_s:g} announcements/s"
        ),
        cores(control),
        megabytes(memory.total()),
        "one lease per host session; deltas pulled on a version mismatch",
    )


def _cell_roles(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    lease = arithmetic.leases(targets, assumed, slopes)
    lead = arithmetic.replication(assumed.voters_per_cell - 1, assumed, slopes)
    follow = arithmetic.replication(1, assumed, slopes)
    state = assumed.services * assumed.slot_count * slopes["slot_bytes"]
    state += lease.hosts * (
        slopes["session_memory_bytes"] + slopes["upstream_memory_bytes"]
    )
    cell = f"cell state: {lease.hosts:.0f} sessions, tables, audit trail; log"
    follower = (
        f"{follow.messages_per_s:.0f} pynng messages/s",
        cores(follow.cores),
        f"{megabytes(state)} per group",
    )
    return [
        (
            "leader of a cell group",
            f"{cell}; leases in memory only",
            (
                f"{lease.per_s:.0f} renewals/s "
                f"({kilobytes_per_s(lease.leader_bytes_per_s)} with acknowledgements), "
                f"{lead.messages_per_s:.0f} pynng messages/s"
            ),
            f"{cores(lease.leader_cores)} renewals, {cores(lead.cores)} replication",
            megabytes(state),
            "UDP direct to the leader; batched entries; one fsync per batch",
        ),
        (
            "control voter (follower)",
            cell,
            *follower,
            "check-quorum and pre-vote; snapshot after 1,000 entries",
        ),
        (
            "learner",
            cell,
            *follower,
            "snapshot, then entries; no vote until it has caught up",
        ),
    ]


def _configuration_leader(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> tuple[str, ...]:
    lead = arithmetic.replication(assumed.configuration_voters - 1, assumed, slopes)
    spread = arithmetic.distribution(targets, assumed, slopes)
    documents = assumed.services * assumed.service_document_bytes
    return (
        "leader of the configuration group",
        "documents, change ids, audit trail; log",
        (
            f"{lead.messages_per_s:.0f} pynng messages/s; "
            f"{spread.changes_per_s:.3f} changes/s"
        ),
        cores(lead.cores + spread.changes_per_s * slopes["sync_s"]),
        (
            f"{documents / 1e3:.0f} KB of documents; change ids are not bounded by "
            "the design"
        ),
        "own log; routers learn the revision from acknowledgements and pull",
    )


def _control_host(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> tuple[str, ...]:
    lease = arithmetic.leases(targets, assumed, slopes)
    follows = assumed.voters_per_cell - 1
    lead = arithmetic.replication(assumed.voters_per_cell - 1, assumed, slopes)
    follow = arithmetic.replication(1, assumed, slopes)
    settings = arithmetic.replication(1, assumed, slopes)
    spread = arithmetic.distribution(targets, assumed, slopes)
    messages = lead.messages_per_s + follows * follow.messages_per_s
    messages += settings.messages_per_s
    total = lease.leader_cores + lead.cores + follows * follow.cores + settings.cores
    total += spread.cores_per_control_host
    return (
        f"control host: leads 1 cell, follows {follows}, votes on configuration",
        "the sum of the above",
        (
            f"{lease.per_s:.0f} renewals/s, {messages:.0f} pynng messages/s, "
            f"{spread.pulls_per_s:.0f} pulls/s while a change goes out"
        ),
        cores(total),
        megabytes(arithmetic.control_host_memory(assumed, slopes)),
        "one process per control host",
    )
