"""Load balancing with slow, failing and restarting upstreams, and with zones."""

from __future__ import annotations

import random

from collections import Counter

import pytest

from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import Upstream
from sassafraswharf.gateway.upstream_choice import UpstreamChooser
from sassafraswharf.gateway.work import LoadHint


def upstream(name: str, zone: str = "a", **fields: bool) -> Upstream:
    return Upstream(
        Instance(name, 1), "s", f"h-{name}", f"ip-{name}", zone, 10, False
    )._replace(**fields)


def count(
    choice: UpstreamChooser, candidates: list[Upstream], now: float
) -> Counter[str]:
    chosen: Counter[str] = Counter()
    for _ in range(200):
        one = choice.choose(candidates, set(), now)
        assert one is not None
        chosen[one.instance.name] += 1
    return chosen


def make(*hints: tuple[str, LoadHint]) -> UpstreamChooser:
    choice = UpstreamChooser("a", random.Random(7))
    for name, hint in hints:
        choice.stats_of(upstream(name))
        choice.on_hint(Instance(name, 1), hint, 10.0)
    return choice


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (LoadHint(1, 0, 10, 0.05), LoadHint(1, 0, 10, 0.25)),
        (LoadHint(2, 0, 10, 0.05), LoadHint(10, 9, 10, 0.05)),
    ],
)
def test_faster_and_less_loaded_upstreams_are_preferred(
    first: LoadHint, second: LoadHint
) -> None:
    """Guards against slow or full upstreams with an equal share (`srv_slow`)."""
    choice = make(("x", first), ("y", second))
    chosen = count(choice, [upstream("x"), upstream("y")], 10.1)
    assert chosen["x"] > chosen["y"]


def test_a_failing_upstream_is_ejected_and_tried_again() -> None:
    """Guards against a failing upstream that keeps its share (`srv_grey`)."""
    choice = make(("x", LoadHint(0, 0, 10, 0.05)), ("y", LoadHint(0, 0, 10, 0.05)))
    both = [upstream("x"), upstream("y")]
    choice.on_failure(Instance("x", 1), 10.0)
    assert set(count(choice, both, 10.1)) == {"y"}
    choice.on_success(Instance("x", 1))
    choice.on_failure(Instance("y", 1), 12.0)
    assert set(count(choice, both, 12.1)) == {"x"}


def test_the_own_zone_is_preferred_while_equal() -> None:
    """Guards against needless traffic between zones."""
    choice = make(("x", LoadHint(1, 0, 10, 0.05)), ("y", LoadHint(1, 0, 10, 0.05)))
    chosen = count(choice, [upstream("x", "b"), upstream("y", "a")], 10.1)
    assert set(chosen) == {"y"}


@pytest.mark.parametrize(("near", "far"), [(1, 4), (2, 8), (5, 1)])
def test_light_traffic_stays_in_its_zone(near: int, far: int) -> None:
    """Guards against a random sample without the router's own zone."""
    names = [(f"n{n}", "a") for n in range(near)] + [(f"f{n}", "b") for n in range(far)]
    choice = make(*((name, LoadHint(2, 0, 10, 0.05)) for name, _ in names))
    chosen = count(choice, [upstream(*one) for one in names], 10.1)
    assert all(name.startswith("n") for name in chosen)


@pytest.mark.parametrize("far_running", [0, 2, 5])
def test_a_full_zone_overflows_to_other_zones(far_running: int) -> None:
    """Guards against requests that queue in their zone while others have free slots."""
    far = [f"f{n}" for n in range(4)]
    hints = [(name, LoadHint(far_running, 0, 10, 0.06)) for name in far]
    choice = make(("n", LoadHint(10, 6, 10, 0.06)), *hints)
    candidates = [upstream("n", "a"), *(upstream(name, "b") for name in far)]
    assert "n" not in count(choice, candidates, 10.1)


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([upstream("y")], {"y"}),
        ([upstream("y", restarting=True)], {"x", "y"}),
        ([upstream("y", draining=True)], {"x"}),
    ],
)
def test_a_restarting_upstream_is_the_last_resort(
    others: list[Upstream], expected: set[str]
) -> None:
    """Guards against rejections while every router of a service restarts."""
    choice = UpstreamChooser("a", random.Random(7))
    candidates = [upstream("x", restarting=True), *others]
    assert set(count(choice, candidates, 10.0)) <= expected


def test_no_upstream_is_chosen_twice_for_a_request() -> None:
    """Guards against a retry at the upstream where the first attempt failed."""
    choice = UpstreamChooser("a", random.Random(7))
    assert choice.choose([upstream("x")], {Instance("x", 1)}, 10.0) is None
