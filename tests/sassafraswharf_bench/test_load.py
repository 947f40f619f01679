from __future__ import annotations

import asyncio

from collections import Counter

import pytest

from aiohttp import web
from aiohttp.test_utils import TestServer

from sassafraswharf_bench.bare_forwarder import build_application
from sassafraswharf_bench.load import build_parser
from sassafraswharf_bench.load import measure
from sassafraswharf_bench.traffic.arrivals import Traffic
from sassafraswharf_bench.traffic.arrivals import generate_arrivals
from sassafraswharf_bench.traffic.arrivals import loopback_url
from sassafraswharf_bench.traffic.tally import ClassTally
from sassafraswharf_bench.traffic.tally import Outcome
from sassafraswharf_bench.traffic.tally import Reply
from sassafraswharf_bench.traffic.tally import classify
from sassafraswharf_bench.traffic.tally import run_violations


MATCHING_BODY = b'{"key": "k", "id": "r-1"}'


def test_arrivals_follow_rate_shares_and_moving_hot_set() -> None:
    """Guards against generated load that differs from the requested one."""
    traffic = Traffic(rate=1000, requests=10_000, hot_move_s=5, hot_share=0.9, keys=100)
    made = list(generate_arrivals(traffic))
    assert made == list(generate_arrivals(traffic))
    assert made[-1].at_s == pytest.approx(10, rel=0.1)
    kinds = Counter(arrival.kind for arrival in made)
    assert kinds["booking"] == pytest.approx(1000, rel=0.15)
    assert kinds["deposit"] == pytest.approx(500, rel=0.15)
    early = Counter(a.key for a in made if a.at_s < 5).most_common(10)
    late = Counter(a.key for a in made if 5 <= a.at_s < 10).most_common(10)
    assert not {key for key, _ in early} & {key for key, _ in late}
    assert len(list(generate_arrivals(traffic._replace(duration_s=1)))) < 1200


@pytest.mark.parametrize(
    "url", ["http://192.0.2.1:80", "http://localhost:80", "https://127.0.0.1", "x"]
)
def test_refuses_addresses_that_are_not_loopback(url: str) -> None:
    """Guards against load on a remote host."""
    with pytest.raises(ValueError, match=r"is not|does not"):
        loopback_url(url)


@pytest.mark.parametrize(
    ("replies", "expected"),
    [
        ([Reply(200, body=MATCHING_BODY)], Outcome("complete", "http-200")),
        (
            [Reply(200, body=b'{"key": "x", "id": "r-2"}')],
            Outcome("complete", "http-200", ("wrong_key", "wrong_id")),
        ),
        (
            [Reply(200, body=MATCHING_BODY[:9])],
            Outcome("complete", "http-200", ("not_json",)),
        ),
        ([Reply(503, "3103")], Outcome("not_run", "3103")),
        ([Reply(503, "3201")], Outcome("unknown", "3201")),
        (
            [Reply(503, "3201"), Reply(503, "3103", "attempt")],
            Outcome("unknown", "3103"),
        ),
        ([Reply(503, "3201"), Reply(503, "3103", "key")], Outcome("not_run", "3103")),
        ([Reply(error="caller-X")], Outcome("unknown", "caller-X")),
        ([Reply(502)], Outcome("unknown", "http-502")),
    ],
)
def test_classifies_attempts(replies: list[Reply], expected: Outcome) -> None:
    """Guards against a possible execution that is classified as not run."""
    assert classify(replies, "k", "r-1") == expected


def test_run_counts_are_compared_with_answers() -> None:
    """Guards against repeated, lost and wrongly refused bookings."""
    outcomes = {"a": "complete", "b": "complete", "c": "not_run", "d": "unknown"}
    assert run_violations(outcomes, [{"a": 1, "c": 1}, {"a": 1}]) == [
        "a ran 2 times",
        "b was answered but never ran",
        "c was refused as not run but ran",
    ]


def test_failures_stay_out_of_the_latency_of_complete_answers() -> None:
    """Guards against fast refusals that lower the latency percentiles."""
    tally = ClassTally()
    for millis in range(1, 101):
        tally.record(Outcome("complete", "0"), millis / 1000)
    tally.record(Outcome("not_run", "3103"), 0.5)
    report = tally.report()
    assert report["complete"]["p99_ms"] == pytest.approx(99, rel=0.01)
    assert report["complete"]["count"] == 100
    assert report["all"]["max_ms"] == pytest.approx(500, rel=0.01)


def test_load_through_the_bare_forwarder() -> None:
    """Guards against an answer to another request that is counted as correct."""

    async def answer(request: web.Request) -> web.Response:
        key = request.path.split("/")[2]
        request_id = "other" if key == "k0" else request.query["id"]
        return web.json_response({"key": key, "id": request_id})

    async def run() -> dict[str, int]:
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", answer)
        async with TestServer(application) as upstream:
            forwarder = build_application(str(upstream.make_url("")).rstrip("/"))
            async with TestServer(forwarder) as server:
                target = str(server.make_url("/"))
                flags = ["--target", target, "--rate", "2000", "--requests", "60"]
                flags += ["--keys", "4", "--hot-keys", "1", "--hot-share", "0"]
                return await measure(build_parser().parse_args(flags))

    result = asyncio.run(run())
    traffic = Traffic(2000, 60, keys=4, hot_keys=1, hot_share=0)
    expected = sum(arrival.key == "k0" for arrival in generate_arrivals(traffic))
    assert result["attempts"] == 60
    assert result["wrong_answers"] == expected
