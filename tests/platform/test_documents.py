"""Tests configurations that another program wrote oddly."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING

import pytest

from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.fleet_state import PlanCommand
from sassafraswharf.fleet.fleet_state import decode_plan_reply
from sassafraswharf.fleet.fleet_state import encode_plan_command
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.documents import decode_patch
from sassafraswharf.platform.documents import decode_replacement
from sassafraswharf.routing.plan_document import PlanChange
from sassafraswharf.routing.plan_document import PlanItem


if TYPE_CHECKING:
    from collections.abc import Callable


ROUTE = {
    "name": "lookup",
    "host": "a.example",
    "pathPrefix": "/diary/",
    "routeType": "idempotent",
    "timeout": "800ms",
    "service": "diary",
}
SERVICE = {"name": "diary"}
TOO_LARGE = 10**400
STACK_FRAMES = 40
"""The replicated log applies a change with more frames on the stack than the
operator's API has when it decodes it."""


def split(*weights: float) -> dict[str, object]:
    targets = [{"service": "diary", "weight": weight} for weight in weights]
    return {"trafficSplit": targets}


def configuration(
    route: dict[str, object] | None = None,
    service: dict[str, object] | None = None,
    **fields: object,
) -> dict[str, object]:
    return {
        "version": "00000001",
        "routes": [{**ROUTE, **(route or {})}],
        "services": [{**SERVICE, **(service or {})}],
        **fields,
    }


def nested(depth: int) -> bytes:
    """Return a configuration with an unknown field that is nested this deep."""
    text = json.dumps(configuration({"unknown": "?"}))
    return text.replace('"?"', "[" * depth + "]" * depth).encode()


def deep_in_the_stack(frames: int, call: Callable[[], bytes]) -> bytes:
    if not frames:
        return call()
    return deep_in_the_stack(frames - 1, call)


def outcome(body: bytes) -> int:
    """Return the result code that a replica would give, or that of the decoder."""
    change = decode_replacement(body)
    if not isinstance(change, Ok):
        return ResultCode.CONFIGURATION_INVALID
    command = encode_plan_command(PlanCommand(change.ok_value, "", 0.0))
    state = FleetState(DocumentReader())
    return decode_plan_reply(
        deep_in_the_stack(STACK_FRAMES, lambda: state.apply(1, command))
    ).code


@pytest.mark.parametrize(
    "document",
    [
        configuration(split(TOO_LARGE, 0.5)),
        configuration(split(TOO_LARGE)),
        configuration(split(1e308, 1e308)),
        configuration({"priority": TOO_LARGE}),
        configuration({"priority": -TOO_LARGE}),
        configuration({"attempts": TOO_LARGE}),
        configuration({"attempts": 2**63}),
        configuration(service={"maxConnections": TOO_LARGE}),
        configuration(limits={"maxHeaderBytes": TOO_LARGE}),
        configuration(limits={"maxBodyBytes": -1}),
        configuration(version="f" * 40),
        configuration(version="-5"),
        configuration(version="1_0"),
        configuration(baseVersion="-1"),
    ],
)
def test_a_number_out_of_range_makes_a_configuration_invalid(
    document: dict[str, object],
) -> None:
    """Guards against a change that stops every replica of the log for good.

    A number that can't be added to another one raised an exception when the change
    was applied, on each replica and after each restart.
    """
    code = outcome(json.dumps(document).encode())
    assert code == ResultCode.CONFIGURATION_INVALID


@pytest.mark.parametrize("depth", [70, 200, *range(900, 1_010, 4), 100_000])
def test_deep_nesting_makes_a_configuration_invalid(depth: int) -> None:
    """Guards against a change that can be decoded but not be applied."""
    assert outcome(nested(depth)) == ResultCode.CONFIGURATION_INVALID


@pytest.mark.parametrize("depth", [1, 10, 50])
def test_unknown_fields_may_be_nested(depth: int) -> None:
    """Guards against the refusal of fields that a later version may bring."""
    assert outcome(nested(depth)) == ResultCode.OK


@pytest.mark.parametrize(
    "body",
    [
        b'{"version":"1","upsert":' + b'{"a":' * 5_000 + b"1" + b"}" * 5_000 + b"}",
        b'{"version":"1","remove":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
)
def test_deep_nesting_makes_a_patch_invalid(body: bytes) -> None:
    """Guards against an operator's call that ends without a clear answer."""
    assert decode_patch(body).is_err()


def test_a_change_of_an_earlier_build_that_cannot_be_applied_is_refused() -> None:
    """Guards against replicas that stop at an entry which is in the log already."""
    content = json.dumps({**ROUTE, **split(TOO_LARGE, 0.5)}).encode()
    change = PlanChange(
        1,
        0,
        b"digest",
        True,
        (PlanItem("lookup", content),),
        (PlanItem("diary", json.dumps(SERVICE).encode()),),
    )
    command = encode_plan_command(PlanCommand(change, "", 0.0))
    reply = decode_plan_reply(FleetState(DocumentReader()).apply(1, command))
    assert reply.code == ResultCode.CONFIGURATION_INVALID
