"""Capacity formulas: pure functions of targets, assumptions and slopes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf_bench.sizing.targets import DAY_S
from sassafraswharf_bench.sizing.targets import YEAR_DAYS


if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafraswharf_bench.sizing.targets import Assumptions
    from sassafraswharf_bench.sizing.targets import Targets

    Slopes = Mapping[str, float]


class Requests(NamedTuple):
    """Requests of one node and the cores that their hops take.

    ``direct_cores`` counts one hop per request, from the router beside the
    owner to its upstream. ``two_hop_cores`` counts two, for callers that
    don't know the owner. ``mixed_cores`` is the mix at the assumed share.
    """

    per_s: float
    hop_s: float
    direct_cores: float
    two_hop_cores: float
    mixed_cores: float


def requests(targets: Targets, assumed: Assumptions, slopes: Slopes) -> Requests:
    """Return the processor cost of the hops at full size."""
    per_s = targets.requests_per_s / targets.nodes
    hop_s = slopes["hop_s"] + assumed.body_kib * slopes["hop_per_kib_s"]
    hops = 2 - assumed.direct_request_share
    return Requests(
        per_s, hop_s, per_s * hop_s, 2 * per_s * hop_s, per_s * hop_s * hops
    )


class Journal(NamedTuple):
    """At-most-once requests of one node."""

    per_s: float
    record_bytes: float
    affordable_per_s: float
    cores: float
    bytes_per_s: float


def journal(targets: Targets, assumed: Assumptions, slopes: Slopes) -> Journal:
    """Return the journal's cost and the request rate that its byte limit allows.

    Each request is recorded twice, as intent and as outcome, on every other
    member of its set. A router holds its own records and, on average, those of
    as many other hosts as it has peers.
    """
    per_s = targets.requests_per_s / targets.nodes * assumed.at_most_once_share
    record = slopes["record_bytes"] + (
        assumed.answer_bytes * slopes["record_per_answer_byte"]
    )
    posts = 2 * (assumed.journal_members - 1) * per_s
    post_s = slopes["journal_owner_s"] + slopes["journal_peer_s"]
    return Journal(
        per_s,
        record,
        assumed.journal_bytes
        / (assumed.retention_s * assumed.journal_members * record),
        posts * post_s,
        2 * posts * (assumed.post_header_bytes + assumed.answer_bytes),
    )


class RouterMemory(NamedTuple):
    """Bytes of a router process at full size."""

    floor: float
    tables: float
    members: float
    journal: float
    connections: float

    def total(self) -> float:
        """Return the sum."""
        return sum(self)


def router_memory(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> RouterMemory:
    """Return the memory of a router that knows the tables of all cells.

    Connections are one persistent connection in each direction with every
    other router; both ends are assumed to cost as much as a served one.
    """
    upstreams = targets.nodes * assumed.upstreams_per_host
    return RouterMemory(
        slopes["import_floor_bytes"],
        assumed.services * assumed.slot_count * slopes["slot_bytes"],
        targets.nodes * slopes["session_memory_bytes"]
        + upstreams * slopes["upstream_memory_bytes"],
        assumed.journal_bytes,
        2 * (targets.nodes - 1) * slopes["connection_bytes"],
    )


def control_host_memory(assumed: Assumptions, slopes: Slopes) -> float:
    """Return the bytes of a control host that is a voter of several cells.

    Each group's state machine holds arrays of the full slot count, although its
    cell owns only a share of the slots.
    """
    tables = assumed.services * assumed.slot_count * slopes["slot_bytes"]
    return slopes["import_floor_bytes"] + assumed.voters_per_cell * tables


class Leases(NamedTuple):
    """Renewals of one cell."""

    hosts: float
    per_s: float
    leader_cores: float
    leader_cores_after_loss: float
    host_cores: float
    host_bytes_per_s: float
    leader_bytes_per_s: float


def leases(targets: Targets, assumed: Assumptions, slopes: Slopes) -> Leases:
    """Return the cost of the renewals at the leader and at a host."""
    hosts = targets.nodes / assumed.cells
    per_s = hosts * assumed.renewals_per_s
    both_ways = slopes["renewal_bytes"] + slopes["ack_bytes"]
    host_bytes = assumed.renewals_per_s * (
        both_ways + 2 * assumed.datagram_header_bytes
    )
    cores = per_s * slopes["renewal_leader_s"]
    return Leases(
        hosts,
        per_s,
        cores,
        cores * assumed.cells_led_after_loss,
        assumed.renewals_per_s * slopes["renewal_host_s"],
        host_bytes,
        hosts * host_bytes,
    )


class Replication(NamedTuple):
    """Control messages (one way) and processor time of a control role."""

    messages_per_s: float
    cores: float


def replication(peers: int, assumed: Assumptions, slopes: Slopes) -> Replication:
    """Return the cost of heartbeats and their answers with ``peers`` peers.

    A leader has all other members as peers, a follower or learner has one.
    """
    per_s = peers * assumed.heartbeats_per_s
    return Replication(
        2 * per_s, per_s * (slopes["message_send_s"] + slopes["message_receive_s"])
    )


class Distribution(NamedTuple):
    """Cost of distributing configuration changes to all nodes."""

    changes_per_s: float
    pulls_per_s: float
    cores_per_control_host: float
    burst_bytes_per_s: float
    node_bytes_per_s: float


def distribution(
    targets: Targets, assumed: Assumptions, slopes: Slopes
) -> Distribution:
    """Return the cost of one change spread over the control hosts.

    ``pulls_per_s`` and the burst are per control host while one change is
    distributed within ``in_force_s``; the node's bytes are a daily average.
    """
    size = assumed.service_document_bytes + assumed.pull_header_bytes
    pulls = targets.nodes / targets.in_force_s / targets.control_hosts
    changes = targets.changes_per_day / DAY_S
    return Distribution(
        changes,
        pulls,
        pulls * slopes["journal_peer_s"],
        pulls * size,
        changes * size,
    )


class Slots(NamedTuple):
    """Keys per slot and slots per upstream."""

    keys_per_slot: float
    per_upstream: float


def slots_of(targets: Targets, assumed: Assumptions) -> Slots:
    """Return keys per slot and slots per upstream, over all services."""
    slots = assumed.services * assumed.slot_count
    return Slots(
        targets.keys / slots, slots / (targets.nodes * assumed.upstreams_per_host)
    )


class Deltas(NamedTuple):
    """Size and traffic of table deltas in the encoding of the design."""

    fixed_bytes: float
    node_bytes_per_s_own_cell: float
    node_bytes_per_s_all_cells: float
    hot_slots: float
    hot_bytes_per_s: float
    zone_slots: float
    zone_bytes: float
    zone_send_s: float
    full_bytes: float


def deltas(targets: Targets, assumed: Assumptions, slopes: Slopes) -> Deltas:
    """Return the traffic of table deltas.

    A ``CellDelta`` carries all upstreams and sessions of its cell
    (``fixed_bytes``) if any of them changed, as after a restart, and none of
    them after a move of slots. To isolate a hot slot the other slots of its upstream
    move away. Runs are assumed to be one slot long, the worst case of a table whose
    slots have been moved singly. ``zone_send_s`` is the time in which the
    control hosts can send a lost zone's slots to all nodes.
    """
    hosts = targets.nodes / assumed.cells
    fixed = hosts * (
        slopes["session_wire_bytes"]
        + assumed.upstreams_per_host * slopes["upstream_wire_bytes"]
    )
    events = (targets.restarts_per_day + targets.failures_per_day) / assumed.cells
    own = events * assumed.pulls_per_restart * fixed / DAY_S
    slots = assumed.services * assumed.slot_count
    hot_slots = targets.hot_keys * slots_of(targets, assumed).per_upstream
    hot = hot_slots * 2 * slopes["run_wire_bytes"] / assumed.hot_window_s
    zone_bytes = slots / targets.zones * slopes["run_wire_bytes"]
    per_control_host = zone_bytes * targets.nodes / targets.control_hosts
    return Deltas(
        fixed,
        own,
        own * assumed.cells,
        hot_slots,
        hot,
        slots / targets.zones,
        zone_bytes,
        per_control_host * 8 / assumed.control_host_bits_per_s,
        slots * slopes["run_wire_bytes"] + assumed.cells * fixed,
    )


class Availability(NamedTuple):
    """Churn per day, and seconds per year in which a key waits or is refused."""

    moved_share_per_day: float
    failure_s: float
    zone_and_rack_s: float
    restart_typical_s: float
    restart_max_s: float
    region_partition_s: float


def availability(targets: Targets, assumed: Assumptions) -> Availability:
    """Return churn and unavailable seconds per year and key.

    ``region_partition_s`` is the time in which a caller in another region can't
    reach the key; callers in the key's own region are not affected.
    """
    nodes = targets.nodes
    restarts = targets.restarts_per_day * YEAR_DAYS * assumed.moves_per_restart / nodes
    moved = targets.failures_per_day + targets.restarts_per_day
    rack_share = assumed.hosts_per_rack / nodes
    return Availability(
        moved * assumed.moves_per_restart / nodes,
        targets.failures_per_day * YEAR_DAYS / nodes * assumed.recovery_budget_s,
        assumed.recovery_budget_s
        * (
            assumed.zone_losses_per_year / targets.zones
            + assumed.rack_losses_per_year * rack_share
        ),
        restarts * assumed.handover_typical_s,
        restarts * assumed.handover_max_s,
        assumed.region_partitions_per_year * assumed.region_partition_s,
    )


def lease_gap_s(
    term_s: float, renewal_interval_s: float, election_s: float, find_leader_s: float
) -> float:
    """Return how long a healthy host may lack a lease after loss of its leader.

    The worst case is a renewal lost with the leader: the term began one renewal
    interval before the loss.
    """
    return max(0.0, renewal_interval_s + election_s + find_leader_s - term_s)
