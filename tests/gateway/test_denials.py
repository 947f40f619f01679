"""Final rejections (4xx), and retryable ones (503) with an outdated configuration."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from aiohttp import ClientSession

from sassafraswharf.gateway.fleet_view import PLAN_FRESHNESS_S
from sassafraswharf.platform.documents import decode_replacement
from sassafraswharf.router.http_server import HttpServer
from tests.gateway.test_ingress import ScriptedHops
from tests.gateway.test_ingress import make_ingress


IP = "127.23.0.2"
VERSION = 4
PLAN = {
    "version": f"{VERSION:x}",
    "routes": [
        {
            "name": "lookup",
            "host": "a.example",
            "pathPrefix": "/diary/",
            "routeType": "idempotent",
            "timeout": "1s",
            "service": "k",
        }
    ],
    "services": [{"name": "k", "sharded": True}],
    "limits": {"maxBodyBytes": 8},
}


async def ask(
    newest: int | None, age_s: float, path: str, body: bytes
) -> tuple[int, str | None]:
    """Return status and ``Retry-After`` of a router.

    The router was told ``age_s`` ago that ``newest`` is the newest version.
    """
    ingress = make_ingress(ScriptedHops([]))
    ingress.view.apply_plan_changes(
        [decode_replacement(msgspec.json.encode(PLAN)).unwrap()]
    )
    if newest is not None:
        ingress.view.confirm_plan(newest, ingress.clock.now() - age_s)
    server = HttpServer(
        ingress.handle, max_body_bytes=64, max_header_bytes=8_192, header_timeout_s=2.0
    )
    port = await server.start(IP, 0)
    try:
        async with (
            ClientSession() as session,
            session.post(
                f"http://{IP}:{port}{path}", data=body, headers={"Host": "a.example"}
            ) as response,
        ):
            return response.status, response.headers.get("Retry-After")
    finally:
        await server.stop()


@pytest.mark.parametrize(
    ("path", "body", "denied"),
    [
        pytest.param("/new/", b"", 404, id="no route"),
        pytest.param("/diary/x", b"", 400, id="no key"),
        pytest.param("/diary/x", b"123456789", 413, id="long body"),
    ],
)
@pytest.mark.parametrize(
    ("newest", "age_s", "knows"),
    [
        pytest.param(VERSION, 0.0, True, id="confirmed"),
        pytest.param(VERSION, PLAN_FRESHNESS_S / 2, True, id="confirmed before"),
        pytest.param(VERSION, PLAN_FRESHNESS_S * 2, False, id="long ago"),
        pytest.param(VERSION + 1, 0.0, False, id="a newer one is on its way"),
        pytest.param(None, 0.0, False, id="never"),
    ],
)
def test_a_proper_request_is_not_denied_by_an_outdated_configuration(
    path: str, body: bytes, denied: int, newest: int | None, age_s: float, knows: bool
) -> None:
    """Guards against DENIED: a 4xx from a router that lacks a newer configuration.

    Callers don't retry a request after a 4xx, but after a 503 they do.
    """
    status, retry_after = asyncio.run(ask(newest, age_s, path, body))
    assert status == (denied if knows else 503)
    assert (retry_after is not None) is not knows


def test_the_age_counts_from_the_moment_of_asking() -> None:
    """Guards against counting the age of a delayed answer from its arrival."""
    view = make_ingress(ScriptedHops([])).view
    view.confirm_plan(0, 10.0)
    view.confirm_plan(0, 9.0)
    assert view.is_plan_confirmed(10.0 + PLAN_FRESHNESS_S)
    assert not view.is_plan_confirmed(10.1 + PLAN_FRESHNESS_S)
