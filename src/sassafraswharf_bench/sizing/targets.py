"""Target size of the system, and assumptions for what the target leaves open."""

from __future__ import annotations

from typing import NamedTuple


DAY_S = 86_400.0
YEAR_DAYS = 365.0


class Targets(NamedTuple):
    """Target size and limits, from section 1.5 of the design."""

    nodes: int = 2_400
    keys: float = 2.2e9
    requests_per_s: float = 14e6
    p99_s: float = 0.019
    hot_keys: int = 63
    recovery_s: float = 2.0
    zones: int = 14
    regions: int = 6
    changes_per_day: float = 3_900
    in_force_s: float = 12.0
    core_share: float = 0.042
    memory_bytes: float = 64e6
    bytes_per_s: float = 2_000
    control_hosts: int = 13
    failures_per_day: float = 13
    restarts_per_day: float = 340


class Assumptions(NamedTuple):
    """Values set by the design, and assumed values that it leaves open.

    The first group is taken from sections 2 and 4 of the design. The second
    group is assumed; the page lists it.
    """

    cells: int = 12
    voters_per_cell: int = 3
    configuration_voters: int = 5
    renewals_per_s: float = 4.0
    heartbeats_per_s: float = 1 / 0.075
    recovery_budget_s: float = 1.80
    delta_budget_s: float = 0.20
    slot_count: int = 65_536
    journal_bytes: float = 16e6
    retention_s: float = 600.0
    journal_members: int = 3
    announcements_per_s: float = 0.5

    services: int = 6
    upstreams_per_host: int = 1
    at_most_once_share: float = 0.05
    direct_request_share: float = 0.90
    answer_bytes: float = 300
    body_kib: float = 1.0
    service_document_bytes: float = 1_500
    datagram_header_bytes: float = 28
    pull_header_bytes: float = 400
    post_header_bytes: float = 500
    pulls_per_restart: float = 4
    handover_typical_s: float = 0.5
    handover_max_s: float = 2.0
    moves_per_restart: float = 2
    zone_losses_per_year: float = 3
    rack_losses_per_year: float = 9
    hosts_per_rack: float = 20
    region_partitions_per_year: float = 4
    region_partition_s: float = 300
    region_round_trip_s: float = 0.04
    zone_round_trip_s: float = 0.002
    control_host_bits_per_s: float = 1e9
    hot_window_s: float = 300
    cells_led_after_loss: int = 3
