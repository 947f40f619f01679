from __future__ import annotations

import random

from collections import Counter

from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.requests.upstream_choice import UpstreamChoice


A, B, C = UpstreamId("a"), UpstreamId("b"), UpstreamId("c")


def choice_of(*speeds: float, added_at: float = -100.0) -> UpstreamChoice:
    choice = UpstreamChoice()
    for upstream, speed in zip((A, B, C), speeds, strict=False):
        choice.add(upstream, speed, added_at)
    return choice


def picks(choice: UpstreamChoice, now: float = 0.0) -> Counter[UpstreamId]:
    rng = random.Random(1)
    candidates = list(choice.stats)
    chosen = (choice.choose(candidates, now, rng) for _ in range(300))
    return Counter(upstream for upstream in chosen if upstream is not None)


def test_no_candidates_and_one_candidate() -> None:
    """Guards against a draw from an empty list."""
    choice = choice_of(1.0)
    rng = random.Random(1)
    assert choice.choose([], 0.0, rng) is None
    assert choice.choose([A], 0.0, rng) == A


def test_faster_upstream_is_preferred() -> None:
    """Guards against equal shares for unequal upstreams."""
    found = picks(choice_of(4.0, 1.0))
    assert found[A] > found[B]


def test_frozen_upstream_is_avoided() -> None:
    """Guards against an upstream whose average stays low as nothing finishes."""
    choice = choice_of(1.0, 1.0, 1.0)
    choice.on_request_sent(A, 1, 0.0)
    choice.on_request_sent(B, 2, 4.99)
    assert picks(choice, 5.0)[A] == 0


def test_failing_upstream_is_ejected_and_tried_again_later() -> None:
    """Guards against an upstream that fails fast and so attracts requests."""
    choice = choice_of(1.0, 1.0, 1.0)
    for request_id in range(3):
        choice.on_request_sent(A, request_id, 0.0)
        choice.on_request_finished(A, request_id, True, 0.0)
    assert choice.rank(A, 0.5)[0]
    assert not choice.rank(A, 1.5)[0]
    choice.on_request_sent(A, 9, 1.5)
    choice.on_request_finished(A, 9, False, 1.6)
    assert choice.stats[A].consecutive_failures == 0


def test_ramp_after_a_cold_start() -> None:
    """Guards against a full share for an upstream with cold caches."""
    choice = choice_of(1.0, 1.0)
    choice.add(B, 1.0, 0.0)
    costs = [choice.rank(B, now)[1] for now in (0.0, 5.0, 10.0)]
    assert costs == sorted(costs, reverse=True)
    assert costs[-1] == choice.rank(A, 10.0)[1]
