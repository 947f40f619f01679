"""Route lookup, and the traffic split between services."""

from __future__ import annotations

import pytest

from sassafraswharf.routing.route_table import RouteTable
from sassafraswharf.routing.traffic_split import TrafficSplit
from sassafraswharf.routing.values import CallerLimits
from sassafraswharf.routing.values import Route
from sassafraswharf.routing.values import RoutePlan
from sassafraswharf.routing.values import RouteTarget


def make_route(name: str, host: str, prefix: str, *weights: int) -> Route:
    targets = tuple(
        RouteTarget(f"s{position}", weight)
        for position, weight in enumerate(weights or (1,))
    )
    return Route(name, host, prefix, True, 1.0, 0.2, 1, 2, targets)


TABLE = RouteTable(
    RoutePlan(
        3,
        (
            make_route("root", "a.example", "/"),
            make_route("short", "a.example", "/x/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("other", "b.example", "/x/"),
        ),
        (),
        CallerLimits(),
    )
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/y/z", "long"),
        ("a.example", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/yy/z", "short"),
        ("a.example", "/x", "root"),
        ("a.example", "/xx/y/", "root"),
        ("b.example", "/x/y/z", "other"),
        ("b.example", "/y/", None),
        ("c.example", "/x/", None),
    ],
)
def test_the_longest_prefix_wins(host: str, path: str, expected: str | None) -> None:
    """Guards against requests that are run by the service of another route."""
    route = TABLE.find(host, path)
    assert (route.name if route else None) == expected


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (99, 1), (5, 0, 5)])
@pytest.mark.parametrize("offset", [0.0, 0.37, 0.99])
def test_a_split_keeps_its_shares_in_small_samples(
    weights: tuple[int, ...], offset: float
) -> None:
    """Guards against shares that are right only on average."""
    split = TrafficSplit(offset)
    route = make_route("r", "a.example", "/", *weights)
    counts = dict.fromkeys((one.service for one in route.targets), 0)
    requests = 300
    for _ in range(requests):
        counts[split.choose(route)] += 1
    for target in route.targets:
        expected = requests * target.weight / sum(weights)
        assert abs(counts[target.service] - expected) <= 2
