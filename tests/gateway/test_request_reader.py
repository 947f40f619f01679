"""How requests of callers are parsed and what upstreams receive."""

from __future__ import annotations

import asyncio
import gzip

from typing import TYPE_CHECKING

import pytest

from result import Ok

from sassafraswharf.gateway.work import Answer
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.plans import first_plan
from tests.gateway.test_ingress import ScriptedHops
from tests.gateway.test_ingress import make_ingress


if TYPE_CHECKING:
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.local_upstream import Outcome
    from sassafraswharf.gateway.work import Work


LOOPBACK = "127.0.0.1"
PLAN = first_plan(
    {"pathPrefix": "/p/"},
    {"pathPrefix": "/p/", "name": "upper", "host": "Upper.Example"},
)
WAIT_S = 5.0


class RecordingHops(ScriptedHops):
    """Replaces the hop client and records the requests."""

    def __init__(self) -> None:
        super().__init__([])
        self.seen: list[tuple[str, str, bytes]] = []
        self.fields: list[tuple[str, str]] = []

    async def run(self, work: Work, _upstream: Upstream) -> Outcome:
        self.seen.append((work.method, work.target, work.body))
        self.fields.extend(work.headers)
        return Ok(Answer(200, (), b"whole"))


def request(line: str, *fields: str, host: str = "a.example") -> bytes:
    """Return the head of a request in Latin-1."""
    lines = (f"{line} HTTP/1.1", f"Host: {host}", "Request-Id: r", *fields)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def send(hops: RecordingHops, *parts: bytes) -> list[int]:
    """Send the parts of a request; return the statuses received.

    Each part after the first is sent once a response head was received.
    """
    ingress = make_ingress(hops)
    ingress.view.apply_plan_changes([PLAN])
    ingress.view.confirm_plan(1, ingress.clock.now())
    server = HttpServer(
        ingress.handle,
        max_body_bytes=1_000,
        max_header_bytes=8_000,
        header_timeout_s=5.0,
        on_malformed=ingress.on_malformed,
    )
    port = await server.start(LOOPBACK, 0)
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    statuses = []
    try:
        async with asyncio.timeout(WAIT_S):
            for part in parts:
                writer.write(part)
                head = await reader.readuntil(b"\r\n\r\n")
                statuses.append(int(head.split()[1]))
    finally:
        writer.close()
        await server.stop()
    return statuses


@pytest.mark.parametrize(
    ("line", "host", "target"),
    [
        ("GET /p/x", "a.example", "/p/x"),
        ("GET /p/x", "a.example:8080", "/p/x"),
        ("GET /p/x", "A.Example", "/p/x"),
        ("GET /p/x", "A.EXAMPLE:80", "/p/x"),
        ("GET /p/x", "upper.example", "/p/x"),
        ("GET /p/x", "Upper.Example", "/p/x"),
        ("GET http://a.example/p/x", "a.example", "/p/x"),
        ("GET HTTP://A.Example:80/p/x?q=/1", "a.example", "/p/x?q=/1"),
        ("GET http://a.example/p/x", "other.example", "/p/x"),
        ("GET /p/http://b/?u=http://c/", "a.example", "/p/http://b/?u=http://c/"),
        ("GET /p/%2e%2e/%ff%zz", "a.example", "/p/%2e%2e/%ff%zz"),
        ("GET /p//x/../y", "a.example", "/p//x/../y"),
    ],
)
def test_equivalent_uris_match_the_same_route(
    line: str, host: str, target: str
) -> None:
    """Guards against DENIED: 404 for a host in another case or an absolute URI.

    Host names are case-insensitive (RFC 9110, section 4.2.3), and a server accepts
    the absolute form, which overrides the Host header (RFC 9112, section 3.2.2).
    """
    hops = RecordingHops()
    assert asyncio.run(send(hops, request(line, host=host))) == [200]
    assert hops.seen == [("GET", target, b"")]


@pytest.mark.parametrize(
    ("line", "host"),
    [
        ("GET /P/x", "a.example"),
        ("GET /p", "a.example"),
        ("GET /p/x", "b.example"),
        ("GET http://b.example/p/x", "a.example"),
        ("GET http://a.example", "a.example"),
        ("OPTIONS *", "a.example"),
    ],
)
def test_other_uris_match_no_route(line: str, host: str) -> None:
    """Guards against a route that matches a URI it doesn't cover (ROUTE)."""
    hops = RecordingHops()
    assert asyncio.run(send(hops, request(line, host=host))) == [404]
    assert not hops.seen


@pytest.mark.parametrize(
    ("line", "host", "expected"),
    [
        ("GET /p/x", "A.Example:80", "A.Example:80"),
        ("GET http://a.example:80/p/x", "other.example", "a.example:80"),
    ],
)
def test_an_upstream_gets_one_host(line: str, host: str, expected: str) -> None:
    """Guards against a Host header that contradicts the route of its request."""
    hops = RecordingHops()
    asyncio.run(send(hops, request(line, host=host)))
    fields = [value for name, value in hops.fields if name.lower() == "host"]
    assert fields == [expected]


@pytest.mark.parametrize(
    ("expect", "statuses"),
    [("100-continue", [100, 200]), ("100-Continue", [100, 200])],
)
@pytest.mark.parametrize(
    ("length", "body"),
    [
        ("Content-Length: 3", b"abc"),
        ("Transfer-Encoding: chunked", b"3\r\nabc\r\n0\r\n\r\n"),
    ],
)
def test_a_caller_that_asks_first_is_told_to_send_its_body(
    expect: str, statuses: list[int], length: str, body: bytes
) -> None:
    """Guards against a deadlock of a caller and a router.

    A caller may wait for the status 100 before it sends its body (RFC 9110, section
    10.1.1). aiohttp's low-level server never sends it, and a router reads the body
    first.
    """
    hops = RecordingHops()
    head = request("POST /p/x", length, f"Expect: {expect}")
    assert asyncio.run(send(hops, head, body)) == statuses
    assert hops.seen == [("POST", "/p/x", b"abc")]


@pytest.mark.parametrize(
    "head",
    [
        request("GET /p/x", "Expect: 100-continue"),
        request("GET /p/x", "Expect: something"),
        request("GET /p/x", "Expect: 100-continue").replace(b"/1.1", b"/1.0"),
    ],
)
def test_a_caller_without_a_body_is_answered_at_once(head: bytes) -> None:
    """Guards against a status 100 where the final answer is expected."""
    assert asyncio.run(send(RecordingHops(), head)) == [200]


@pytest.mark.parametrize("encoding", ["gzip", "deflate", "br", "zstd", "identity"])
@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"not encoded", id="not encoded"),
        pytest.param(gzip.compress(b"encoded" * 9, mtime=0), id="gzip"),
    ],
)
def test_an_encoded_body_is_passed_on_as_it_is(encoding: str, body: bytes) -> None:
    """Guards against 502 for an encoded body, and against a modified body.

    aiohttp decodes bodies by default; the upstream then got the decoded body with
    the original Content-Encoding (UNASKED).
    """
    hops = RecordingHops()
    fields = (f"Content-Length: {len(body)}", f"Content-Encoding: {encoding}")
    head = request("POST /p/x", *fields)
    assert asyncio.run(send(hops, head + body)) == [200]
    assert hops.seen == [("POST", "/p/x", body)]
    assert ("Content-Encoding", encoding) in hops.fields
