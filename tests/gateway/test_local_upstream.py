"""When a local upstream takes requests, also across restarts of its router."""

from __future__ import annotations

import pytest

from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.heartbeat import Heartbeat
from tests.gateway.local_upstreams import make_local


SELF = Instance("i-1", 7)
ADDRESS = ("10.0.0.1", 80)


def beat(sequence: int, *, draining: bool = False) -> Heartbeat:
    return Heartbeat(SELF, "diary", ADDRESS, 10, draining, 0.0, sequence)


def upstream(*, draining: bool) -> Upstream:
    return Upstream(SELF, "diary", "side-1", "10.0.0.1", "dub-a", 10, draining)


def test_a_draining_upstream_takes_requests_for_a_while_only() -> None:
    """Guards against requests that reach an upstream after its drain."""
    local = make_local(ADDRESS)
    local.on_heartbeat(beat(1), 10.0)
    local.on_heartbeat(beat(2, draining=True), 10.5)
    assert local.is_open(11.0)
    local.on_heartbeat(beat(3, draining=True), 11.4)
    assert not local.is_open(12.0)


@pytest.mark.parametrize("is_adopted", [True, False])
def test_a_restarted_router_does_not_restart_a_drain(is_adopted: bool) -> None:
    """Guards against requests long after the drain was acknowledged.

    The router process that acknowledged it has ended; its successor can't know when.
    Seen once in a soak run: draiocht-desk, trouble-2 --seed 377212238955, DRAIN 10.
    """
    local = make_local(ADDRESS)
    if is_adopted:
        local.adopt(upstream(draining=False), 20.0)
    local.on_heartbeat(beat(9, draining=True), 20.1)
    assert not local.is_open(20.2)


def test_an_upstream_that_has_left_stays_so_for_a_restarted_router() -> None:
    """Guards against a heartbeat that reopens an upstream after its drain."""
    local = make_local(ADDRESS)
    local.on_heartbeat(beat(9), 20.0)
    local.on_fleet_drain(SELF, 20.1)
    local.on_heartbeat(beat(10), 20.2)
    assert not local.is_open(20.3)
    assert local.beat is not None
    assert local.beat.draining


def test_an_adopted_upstream_serves_before_its_heartbeat() -> None:
    """Guards against keys without service between a restart and the next heartbeat."""
    local = make_local(ADDRESS)
    local.adopt(upstream(draining=False), 20.0)
    assert local.is_open(20.0)
    assert local.is_adopted
    local.on_heartbeat(beat(1), 20.5)
    assert not local.is_adopted
