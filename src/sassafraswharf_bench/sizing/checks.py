"""Compares calculated capacity with each requirement, as rows of a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf_bench.sizing import arithmetic
from sassafraswharf_bench.sizing.roles import cores
from sassafraswharf_bench.sizing.roles import kilobytes_per_s
from sassafraswharf_bench.sizing.roles import megabytes


if TYPE_CHECKING:
    from sassafraswharf_bench.sizing.arithmetic import Slopes
    from sassafraswharf_bench.sizing.targets import Assumptions
    from sassafraswharf_bench.sizing.targets import Targets


CHECK_HEADER = ("requirement", "needed", "worked out", "verdict", "mechanism or gap")
LEASE_TERM_S = 0.9
RENEWAL_INTERVAL_S = 0.25
ELECTION_S = 0.50
FIND_LEADER_S = 0.25


def verdict(needed: float, limit: float) -> str:
    """Return whether a value is within its limit, and otherwise by how much not.

    >>> verdict(1.0, 2.0), verdict(3.0, 2.0)
    ('met', 'not met: 1.5 times the limit')
    """
    if needed <= limit:
        return "met"
    return f"not met: {needed / limit:.3g} times the limit"


def check_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    """Return the rows for the requirements of section 1.5 of the design."""
    return [
        *_request_rows(targets, assumed, slopes),
        *_memory_rows(targets, assumed, slopes),
        *_traffic_rows(targets, assumed, slopes),
        *_recovery_rows(targets, assumed, slopes),
        *_change_rows(targets, assumed, slopes),
        *_availability_rows(targets, assumed),
    ]


def _request_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    hop = arithmetic.requests(targets, assumed, slopes)
    kept = arithmetic.journal(targets, assumed, slopes)
    share = f"{assumed.at_most_once_share:.0%}"
    slots = arithmetic.slots_of(targets, assumed)
    return [
        (
            f"{targets.keys / 1e9:g} billion keys",
            "no state per key",
            (
                f"{slots.keys_per_slot:,.0f} keys per slot, {slots.per_upstream:.0f} "
                "slots per upstream"
            ),
            "met",
            "hash slots; a hot key can't be split, its slot can be isolated",
        ),
        (
            "p99 of a request",
            f"{targets.p99_s * 1e3:g} ms",
            "needs the daemon; not worked out",
            "open",
            "depends on the use of the one core, see the next rows",
        ),
        (
            "requests, callers follow the owner",
            f"{hop.per_s:,.0f}/s per node in one process (1 core)",
            f"{hop.direct_cores:.2f} cores at {hop.hop_s * 1e3:.2f} ms per hop",
            verdict(hop.direct_cores, 1.0),
            (
                "`Sassafraswharf-Owner` saves the second hop, not the first; bare "
                f"forwarder only, so a lower bound; one core carries "
                f"{1 / hop.hop_s:,.0f}/s"
            ),
        ),
        (
            f"requests, {assumed.direct_request_share:.0%} follow the owner",
            "1 core",
            f"{hop.mixed_cores:.2f} cores; {hop.two_hop_cores:.2f} if none does",
            verdict(hop.mixed_cores, 1.0),
            "nothing in the design carries the rest: one small process per host",
        ),
        (
            f"journal processor time, {share} at most once",
            "beside the hops, 1 core",
            f"{kept.cores:.2f} cores for {kept.per_s:,.0f} requests/s",
            verdict(kept.cores + hop.direct_cores, 1.0),
            "4 POSTs per request; batching of records per peer is not in the design",
        ),
        (
            f"journal memory, {share} at most once",
            f"{kept.per_s:,.0f} requests/s per node",
            (
                f"{kept.affordable_per_s:.1f}/s fit {megabytes(assumed.journal_bytes)} "
                f"at {kept.record_bytes:.0f} B a record"
            ),
            verdict(kept.per_s, kept.affordable_per_s),
            "beyond it requests are refused as not run (3108)",
        ),
        (
            f"journal traffic, {share} at most once",
            "no limit stated beside 2 KB/s of control",
            f"{kept.bytes_per_s / 1e6:.2f} MB/s per node, sent and received",
            "data path, not counted as control",
            "persistent HTTP between routers",
        ),
    ]


def _memory_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    memory = arithmetic.router_memory(targets, assumed, slopes)
    lease = arithmetic.leases(targets, assumed, slopes)
    busy = lease.host_cores + assumed.announcements_per_s * slopes["journal_peer_s"]
    control = arithmetic.control_host_memory(assumed, slopes)
    floor_and_tables = memory.floor + memory.tables + memory.members
    return [
        (
            "control processor time per node",
            cores(targets.core_share),
            cores(busy),
            verdict(busy, targets.core_share),
            "one renewal per host session; requests and journal not counted",
        ),
        (
            "memory: imports, tables of all cells, members",
            megabytes(targets.memory_bytes),
            (
                f"{megabytes(memory.floor)} + {megabytes(memory.tables)} + "
                f"{megabytes(memory.members)}"
            ),
            verdict(floor_and_tables, targets.memory_bytes),
            "compact arrays; the daemon's own code and buffers are not counted",
        ),
        (
            "memory: with a full journal",
            megabytes(targets.memory_bytes),
            megabytes(floor_and_tables + memory.journal),
            verdict(floor_and_tables + memory.journal, targets.memory_bytes),
            f"journal limit {megabytes(assumed.journal_bytes)}",
        ),
        (
            "memory: with connections to all routers",
            megabytes(targets.memory_bytes),
            (
                f"{megabytes(memory.total())}, {megabytes(memory.connections)} of it "
                "connections"
            ),
            verdict(memory.total(), targets.memory_bytes),
            "the design closes no idle connections between routers",
        ),
        (
            "memory: control host with 3 groups",
            megabytes(targets.memory_bytes),
            megabytes(control),
            verdict(control, targets.memory_bytes),
            (
                "arrays of the full slot count per group; the limit is taken to hold "
                "for control hosts too"
            ),
        ),
    ]


def _traffic_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    lease = arithmetic.leases(targets, assumed, slopes)
    spread = arithmetic.distribution(targets, assumed, slopes)
    delta = arithmetic.deltas(targets, assumed, slopes)
    steady = lease.host_bytes_per_s + spread.node_bytes_per_s
    own = steady + delta.node_bytes_per_s_own_cell
    every = steady + delta.node_bytes_per_s_all_cells
    hot = every + delta.hot_bytes_per_s
    limit = kilobytes_per_s(targets.bytes_per_s)
    return [
        (
            "control traffic, deltas of the own cell",
            limit,
            kilobytes_per_s(own),
            verdict(own, targets.bytes_per_s),
            (
                f"renewals {kilobytes_per_s(lease.host_bytes_per_s)}, configuration "
                f"{kilobytes_per_s(spread.node_bytes_per_s)}"
            ),
        ),
        (
            "control traffic, deltas of all cells",
            limit,
            kilobytes_per_s(every),
            verdict(every, targets.bytes_per_s),
            (
                f"after a restart a delta has {delta.fixed_bytes / 1e3:.0f} KB of "
                "members; "
                "an acknowledgement names only its own cell's version"
            ),
        ),
        (
            (
                f"the same while {targets.hot_keys} hot slots are isolated in "
                f"{assumed.hot_window_s:g} s"
            ),
            limit,
            f"{kilobytes_per_s(hot)}, {delta.hot_slots:,.0f} slots move",
            verdict(hot, targets.bytes_per_s),
            "a delta without changed members carries slots only",
        ),
    ]


def _recovery_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    lease = arithmetic.leases(targets, assumed, slopes)
    delta = arithmetic.deltas(targets, assumed, slopes)
    gap = arithmetic.lease_gap_s(
        LEASE_TERM_S, RENEWAL_INTERVAL_S, ELECTION_S, FIND_LEADER_S
    )
    near = assumed.zone_round_trip_s + 2 * slopes["sync_s"]
    far = assumed.region_round_trip_s + 2 * slopes["sync_s"]
    return [
        (
            f"renewals of {targets.nodes:,} hosts",
            "below 1 core per control host",
            (
                f"{cores(lease.leader_cores)} per cell; "
                f"{cores(lease.leader_cores_after_loss)} when one host leads "
                f"{assumed.cells_led_after_loss} cells"
            ),
            verdict(lease.leader_cores_after_loss, 1.0),
            f"{assumed.cells} cells of {lease.hosts:.0f} hosts recover in parallel",
        ),
        (
            "host and leader lost at once",
            f"{targets.recovery_s:g} s",
            f"{assumed.recovery_budget_s:.2f} s, the sum of section 4.3",
            verdict(assumed.recovery_budget_s, targets.recovery_s),
            "budget, not yet a measurement of the daemon",
        ),
        (
            "healthy hosts while their leader is lost",
            "no expired lease",
            f"up to {gap:.2f} s without a lease",
            "met" if gap <= 0 else "not met in the worst case",
            (
                f"renewal {RENEWAL_INTERVAL_S} + election {ELECTION_S} + next renewal "
                f"{FIND_LEADER_S} against the term {LEASE_TERM_S} s; more if "
                "the new leader must be found first; slots stay"
            ),
        ),
        (
            "availability zone lost",
            f"deltas within {assumed.delta_budget_s:.2f} s",
            (
                f"{delta.zone_slots:,.0f} slots, {delta.zone_bytes / 1e3:.0f} KB to "
                f"each node, {delta.zone_send_s:.2f} s to send"
            ),
            verdict(delta.zone_send_s, assumed.delta_budget_s),
            f"{targets.control_hosts} control hosts at 1 Gbit/s; runs one slot long",
        ),
        (
            "commit, quorum within the region",
            "0.10 s for vote and first commit",
            f"{near * 1e3:.1f} ms",
            verdict(near, 0.10),
            "two voters in zones of the region; sync as measured here",
        ),
        (
            "commit, quorum across regions",
            "0.10 s for vote and first commit",
            (
                f"{far * 1e3:.1f} ms a round trip; pre-vote, vote and commit: "
                f"{3 * far * 1e3:.0f} ms"
            ),
            verdict(3 * far, 0.10),
            "only after the loss of a zone, and always for configuration",
        ),
        (
            f"region cut off for {assumed.region_partition_s:g} s",
            "each cell keeps a quorum",
            "2 of 3 voters in the region, 4 of 5 of configuration outside",
            "met; not if a zone of the cut region is lost as well",
            (
                "changes are not accepted on the cut side; keys of the other side are "
                "refused as not run"
            ),
        ),
    ]


def _change_rows(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> list[tuple[str, ...]]:
    spread = arithmetic.distribution(targets, assumed, slopes)
    delta = arithmetic.deltas(targets, assumed, slopes)
    return [
        (
            f"{targets.changes_per_day:,.0f} changes a day",
            f"in force in {targets.in_force_s:g} s",
            (
                f"{spread.pulls_per_s:.0f} pulls/s and "
                f"{kilobytes_per_s(spread.burst_bytes_per_s)} per control host, "
                f"{cores(spread.cores_per_control_host)}"
            ),
            "met; one renewal and one pull, not yet measured",
            (
                f"{spread.node_bytes_per_s:.0f} B/s per node if a pull carries only "
                "what changed"
            ),
        ),
        (
            "router starts without a table",
            "no limit stated",
            f"{megabytes(delta.full_bytes)} for all cells, runs one slot long",
            f"{targets.restarts_per_day / targets.nodes:.2f} times a day per node",
            "full delta from version 0; above the 1 MiB limit of one message",
        ),
    ]


def _availability_rows(targets: Targets, assumed: Assumptions) -> list[tuple[str, ...]]:
    year = arithmetic.availability(targets, assumed)
    return [
        (
            (
                f"{targets.failures_per_day:g} failures and "
                f"{targets.restarts_per_day:g} restarts a day: churn"
            ),
            "low",
            f"{year.moved_share_per_day:.1%} of the slots change owner a day",
            "no limit stated",
            "away and back; a router restart in place moves nothing twice",
        ),
        (
            "unavailable per key and year: host failures",
            "low",
            f"{year.failure_s:.1f} s",
            "no limit stated",
            f"{assumed.recovery_budget_s:.2f} s each",
        ),
        (
            "unavailable per key and year: zones and racks",
            "low",
            f"{year.zone_and_rack_s:.2f} s",
            "no limit stated",
            "only if the deltas of a zone arrive in time",
        ),
        (
            "waiting per key and year: restarts",
            "held, not refused",
            (
                f"{year.restart_typical_s:.0f} s typical, {year.restart_max_s:.0f} s "
                "at most"
            ),
            "no limit stated",
            (
                f"handover {assumed.handover_typical_s:g} s typical, "
                f"{assumed.handover_max_s:g} s at most, twice per restart"
            ),
        ),
        (
            "unreachable from other regions per year",
            "low",
            f"{year.region_partition_s:,.0f} s",
            "no limit stated",
            "outside the system's control; callers of the own region continue",
        ),
    ]
