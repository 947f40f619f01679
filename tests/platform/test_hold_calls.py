"""Wire format of grant and release requests."""

from __future__ import annotations

import json

from typing import Any

import pytest

from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.gateway.http_connection import ResponseHead
from sassafraswharf.platform.hold_calls import HoldCalls


HOST = "10.1.0.8:8301"


def split(call: bytes) -> tuple[str, dict[str, str], Any]:
    head, _, body = call.partition(b"\r\n\r\n")
    line, *fields = head.decode().split("\r\n")
    return line, dict(one.split(": ", 1) for one in fields), json.loads(body)


@pytest.mark.parametrize(
    ("row", "hold_s", "expected"),
    [
        (
            GrantedRow(4096, 8191, 12, "5c0e7a21"),
            4.0,
            {"fence": 12, "hold_time": "4000ms", "handover": "5c0e7a21"},
        ),
        (GrantedRow(4096, 8191, 7, ""), 3.3604, {"fence": 7, "hold_time": "3360ms"}),
    ],
)
def test_a_grant_names_its_keys_and_its_upstream(
    row: GrantedRow, hold_s: float, expected: dict[str, Any]
) -> None:
    """Guards against a grant to another upstream at the address, or of other keys."""
    line, fields, body = split(HoldCalls().grant(row, hold_s, HOST, "i-1"))
    assert line == "POST /sassafraswharf/grant HTTP/1.1"
    assert fields["Host"] == HOST
    assert fields["Expect-Instance"] == "i-1"
    assert body == {"fromRev": 4096, "targetVersion": 8191, **expected}


def test_a_release_names_its_keys_and_fence() -> None:
    """Guards against a release of other keys."""
    line, _, body = split(HoldCalls().release(HeldRow(0, 9, 12), HOST, "i-1"))
    assert line == "POST /sassafraswharf/release HTTP/1.1"
    assert body == {"fromRev": 0, "targetVersion": 9, "fence": 12}


@pytest.mark.parametrize(
    ("headers", "token"), [({"Handover": "7a21"}, "7a21"), ({}, "")]
)
def test_the_token_of_a_release_is_read(headers: dict[str, str], token: str) -> None:
    """Guards against cold keys after a handover."""
    fields = CIMultiDictProxy(CIMultiDict(headers))
    response = ResponseHead(200, fields, None)  # type: ignore[arg-type]
    assert HoldCalls().handover(response) == token
