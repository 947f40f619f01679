"""Decoding of heartbeats, and provider names that must stay in the adapter."""

from __future__ import annotations

import json
import re

from pathlib import Path

import msgspec
import pytest

from sassafraswharf.fleet.sync import HeldRow
from sassafraswharf.fleet.sync import ReleasedRow
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.heartbeat import Grant
from sassafraswharf.gateway.heartbeat import GrantedRow
from sassafraswharf.platform.heartbeats import decode_heartbeat
from sassafraswharf.platform.heartbeats import decode_leave
from sassafraswharf.platform.heartbeats import encode_grant


BEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "dub-a",
    "version": "v1",
    "slots": 10,
    "state": "draining",
    "coldRemaining": "1500ms",
    "sequence": 4,
    "born": 1_790_000_000_123,
    "holds": [[0, 4095, 7]],
    "released": [[4096, 8191, "5c0e7a21d94b36f8"]],
}
SOURCES = Path(__file__).parents[2] / "src" / "sassafraswharf"
PROVIDER_NAMES = re.compile(
    r"Endpoints\.|Config\.(Replace|Patch|Get)|SASSAFRASWHARF_BOOT|Caller-Service"
    r"|Expect-Instance|Not-Executed|pathPrefix|routeType|coldRemaining|trafficSplit"
    r"|Response-Signature|Shard-Key|readyz|hold_time|appAddr"
)


def test_a_heartbeat_is_decoded() -> None:
    """Guards against fields that are read under a wrong name."""
    beat = decode_heartbeat("i-1", msgspec.json.encode(BEAT)).unwrap()
    assert beat.instance == Instance("i-1", 1_790_000_000_123)
    assert beat.address == ("10.128.0.9", 8080)
    assert beat.draining
    assert beat.cold_s == 1.5
    assert beat.held == (HeldRow(0, 4095, 7),)
    assert beat.released == (ReleasedRow(4096, 8191, "5c0e7a21d94b36f8"),)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "confused"},
        {"slots": "ten"},
        {"slots": 0},
        {"address": "nowhere"},
        {"address": 7},
        {"coldRemaining": "later"},
        {"sequence": None},
        {"holds": [[0, "x", 7]]},
        {"born": 1.5},
        {"born": 2**64},
        {"born": -1},
        {"slots": 2**64},
        {"slots": 2**31},
        {"slots": 10**400},
        {"sequence": 2**64},
        {"sequence": -2},
        {"holds": [[0, 2**64, 7]]},
        {"holds": [[0, 65_536, 7]]},
        {"holds": [[-1, 9, 7]]},
        {"holds": [[0, 9, 2**64]]},
        {"released": [[0, 2**64, "t"]]},
        {"released": [[-1, 9, "t"]]},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:" + "9" * 5_000},
        {"coldRemaining": "9" * 5_000 + "s"},
    ],
)
def test_a_malformed_heartbeat_is_refused(change: dict[str, object]) -> None:
    """Guards against an upstream that exists only in a malformed message."""
    body = json.dumps({**BEAT, **change}).encode()
    assert decode_heartbeat("i-1", body).is_err()


@pytest.mark.parametrize("field", ["unknown", "holds", "state"])
@pytest.mark.parametrize("brackets", ["[]", "{}"])
def test_a_deeply_nested_heartbeat_is_refused(field: str, brackets: str) -> None:
    """Guards against an exception on a field that another program nested deeply."""
    opening = "[" if brackets == "[]" else '{"a":'
    closing = "]" if brackets == "[]" else "}"
    nested = opening * 100_000 + "1" + closing * 100_000
    body = json.dumps({**BEAT, field: "?"}).replace('"?"', nested)
    assert decode_heartbeat("i-1", body.encode()).is_err()


@pytest.mark.parametrize(
    "body",
    [
        b'{"born": 18446744073709551616}',
        b'{"born": -1}',
        b'{"unknown": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
)
def test_an_unreadable_leave_names_no_incarnation(body: bytes) -> None:
    """Guards against an exception, and a leave of an incarnation that can't exist."""
    assert decode_leave("i-1", body) == Instance("i-1", 0)


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[]", b"null"])
def test_bytes_that_are_no_heartbeat_are_refused(body: bytes) -> None:
    """Guards against an exception on bytes that can't be read."""
    assert decode_heartbeat("i-1", body).is_err()


def test_a_grant_is_encoded_as_rows_with_a_time() -> None:
    """Guards against a hold time that is rounded up."""
    grant = Grant((GrantedRow(0, 9, 3, ""), GrantedRow(10, 19, 4, "t")), 1.2349)
    assert msgspec.json.decode(encode_grant(grant)) == {
        "holds": [[0, 9, 3, ""], [10, 19, 4, "t"]],
        "hold_time": "1234ms",
    }
    assert encode_grant(None) == b"{}"


def test_provider_names_stay_in_the_adapter() -> None:
    """Guards against provider names in modules outside ``platform``."""
    found = [
        path.name
        for path in SOURCES.rglob("*.py")
        if "platform" not in path.parts and PROVIDER_NAMES.search(path.read_text())
    ]
    assert not found
