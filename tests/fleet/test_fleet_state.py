"""Tests configuration changes: conflicts, resends, invalid changes, snapshots."""

from __future__ import annotations

import msgspec
import pytest

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.progress import MAX_COMMAND_BYTES
from sassafraswharf.fleet.fleet_state import CommandKind
from sassafraswharf.fleet.fleet_state import FleetState
from sassafraswharf.fleet.fleet_state import PlanCommand
from sassafraswharf.fleet.fleet_state import decode_plan_reply
from sassafraswharf.fleet.fleet_state import encode_fleet_change
from sassafraswharf.fleet.fleet_state import encode_plan_command
from sassafraswharf.fleet.fleet_table import free_rows
from sassafraswharf.fleet.values import KEY_COUNT
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.fleet.values import Instance
from sassafraswharf.fleet.values import KeyRow
from sassafraswharf.fleet.values import ServiceRows
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.documents import decode_patch
from sassafraswharf.platform.documents import decode_replacement
from sassafraswharf.platform.documents import encode_document


SERVICE = {"name": "diary", "healthPath": "/healthz", "sharded": True, "extra": 1}


def route(name: str = "r", **fields: object) -> dict[str, object]:
    return {
        "name": name,
        "host": "a.example",
        "pathPrefix": f"/{name}/",
        "routeType": "idempotent",
        "timeout": "800ms",
        "service": "diary",
        **fields,
    }


def whole(version: int, base: int, *routes: dict[str, object]) -> bytes:
    return msgspec.json.encode(
        {
            "version": f"{version:08x}",
            "baseVersion": f"{base:08x}",
            "routes": routes or [route()],
            "services": [SERVICE],
        }
    )


def patch(
    version: int, base: int, *routes: dict[str, object], **remove: object
) -> bytes:
    return msgspec.json.encode(
        {
            "version": f"{version:08x}",
            "baseVersion": f"{base:08x}",
            "upsert": {"routes": routes},
            "remove": remove,
        }
    )


class Operator:
    """Applies configuration bodies to a state machine, one log entry each."""

    def __init__(self) -> None:
        self.state = FleetState(DocumentReader())
        self.index = 0

    def send(self, body: bytes, *, items: bool = False) -> int:
        decoded = (decode_patch if items else decode_replacement)(body)
        change = decoded.unwrap()
        self.index += 1
        reply = self.state.apply(
            self.index, encode_plan_command(PlanCommand(change, "test", 0.0))
        )
        return decode_plan_reply(reply).code

    def content(self) -> dict[str, object]:
        return msgspec.json.decode(encode_document(self.state.plan))


def test_what_was_sent_is_read_back_with_fields_that_the_product_ignores() -> None:
    """Guards against a configuration that loses fields unknown to the product."""
    operator = Operator()
    assert operator.send(whole(12, 0)) == ResultCode.OK
    assert operator.content() == {
        "version": "0000000c",
        "routes": [route()],
        "services": [SERVICE],
    }


@pytest.mark.parametrize("items", [True, False])
def test_one_of_two_changes_on_the_same_version_wins(items: bool) -> None:
    """Guards against acknowledging both of two conflicting changes."""
    operator = Operator()
    operator.send(whole(1, 0))
    make = patch if items else whole
    assert operator.send(make(3, 1, route("x")), items=items) == ResultCode.OK
    lost = operator.send(make(3, 1, route("y")), items=items)
    assert lost == ResultCode.CONFIGURATION_CONFLICT
    assert "y" not in operator.state.plan.routes


def test_a_resent_change_is_accepted_again_also_after_others() -> None:
    """Guards against an acknowledged change that is refused when it is resent."""
    operator = Operator()
    operator.send(whole(1, 0))
    body = patch(4, 1, route("x"))
    assert operator.send(body, items=True) == ResultCode.OK
    operator.send(patch(9, 4, route("z")), items=True)
    assert operator.send(body, items=True) == ResultCode.OK
    assert operator.state.plan.version == 9


@pytest.mark.parametrize(
    "fields",
    [
        {"service": "nobody"},
        {"timeout": "0ms"},
        {"timeout": "601s"},
        {"timeout": "soon"},
        {"pathPrefix": "bare/"},
        {"routeType": "sometimes"},
        {"trafficSplit": [{"service": "diary", "weight": 0}]},
        {"trafficSplit": []},
    ],
)
def test_an_invalid_route_is_refused_and_changes_nothing(
    fields: dict[str, object],
) -> None:
    """Guards against an invalid configuration that is acknowledged."""
    operator = Operator()
    operator.send(whole(1, 0))
    sent = operator.send(patch(2, 1, route("x", **fields)), items=True)
    assert sent == ResultCode.CONFIGURATION_INVALID
    assert operator.state.plan.version == 1


def test_a_version_must_grow() -> None:
    """Guards against a configuration that reverts to an older version."""
    operator = Operator()
    operator.send(whole(7, 0))
    assert operator.send(whole(7, 7, route("x"))) == ResultCode.CONFIGURATION_INVALID
    assert operator.send(whole(3, 7, route("x"))) == ResultCode.CONFIGURATION_INVALID


@pytest.mark.parametrize("cut", [1, 20, 100])
def test_a_body_that_is_cut_short_is_unreadable(cut: int) -> None:
    """Guards against accepting a truncated configuration as complete."""
    assert decode_replacement(whole(1, 0)[:-cut]).is_err()


def test_a_snapshot_keeps_version_content_and_memory_of_resends() -> None:
    """Guards against a restarted control host that forgets what it accepted."""
    operator = Operator()
    operator.send(whole(1, 0))
    body = patch(4, 1, route("x"), routes=["r"])
    operator.send(body, items=True)
    restored = Operator()
    restored.state.restore(operator.state.snapshot())
    assert restored.content() == operator.content()
    assert restored.send(body, items=True) == ResultCode.OK


def test_a_router_that_is_behind_gets_the_changes_it_lacks() -> None:
    """Guards against sending the whole configuration for each change of a route."""
    operator = Operator()
    operator.send(whole(1, 0))
    operator.send(patch(4, 1, route("x")), items=True)
    operator.send(patch(6, 4, route("y")), items=True)
    assert [one.version for one in operator.state.plan_since(1)] == [4, 6]
    assert [one.version for one in operator.state.plan_since(6)] == []
    assert [one.is_whole for one in operator.state.plan_since(3)] == [True]


@pytest.mark.parametrize(
    "routes",
    [
        pytest.param(1, id="one route"),
        pytest.param(4_000, id="4,000 routes"),
        pytest.param(12_000, id="12,000 routes"),
    ],
)
def test_a_large_whole_configuration_fits_an_entry_of_the_log(routes: int) -> None:
    """Guards against a valid configuration that is always answered with 503.

    The size of a log entry is limited, so each retry of the operator failed as well.
    """
    names = [f"r{number * 7_919:07x}" for number in range(routes)]
    body = whole(1, 0, *(route(name, targetLatency="600ms") for name in names))
    command = encode_plan_command(
        PlanCommand(decode_replacement(body).unwrap(), "test", 0.0)
    )
    assert len(command) <= MAX_COMMAND_BYTES
    state = FleetState(DocumentReader())
    assert decode_plan_reply(state.apply(1, command)).code == ResultCode.OK
    assert len(state.plan.routes) == routes


def test_entries_of_earlier_releases_are_still_read() -> None:
    """Guards against a log on disk that a newer release can't replay."""
    change = decode_replacement(whole(1, 0)).unwrap()
    command = PlanCommand(change, "test", 0.0)
    entry = bytes([CommandKind.PLAN]) + msgspec.msgpack.encode(command)
    state = FleetState(DocumentReader())
    assert decode_plan_reply(state.apply(1, entry)).code == ResultCode.OK


SPLIT = [{"service": "diary", "weight": 1}]


@pytest.mark.parametrize(
    ("body", "problem"),
    [
        (whole(5, 4, route("s", trafficSplit=SPLIT)), False),
        (whole(5, 4, route("s", trafficSplit=SPLIT, service="nowhere")), True),
        (whole(5, 4, route("s", service="nowhere")), True),
        (patch(5, 4, route("s", trafficSplit=SPLIT, service="nowhere")), True),
        (patch(5, 4, route("s", trafficSplit=SPLIT)), False),
        (patch(5, 4, route("s"), services=["diary"]), True),
        (whole(5, 3, route("s", trafficSplit=SPLIT, service="nowhere")), False),
    ],
)
def test_a_route_that_names_an_unknown_service_is_refused(
    body: bytes, problem: bool
) -> None:
    """Guards against an invalid configuration that is acknowledged (CONFIG).

    A service beside a split isn't used, and was not looked at. A change on another
    version is left to the log, which answers that it is outdated.
    """
    state = FleetState(DocumentReader())
    first = decode_replacement(whole(4, 0)).unwrap()
    state.apply(1, encode_plan_command(PlanCommand(first, "", 0.0)))
    decode = decode_patch if b"upsert" in body else decode_replacement
    assert bool(state.find_problem(decode(body).unwrap())) is problem


def test_a_change_that_was_accepted_is_not_refused_later() -> None:
    """Guards against a refusal of a change that an earlier build has accepted."""
    state = FleetState(DocumentReader())
    body = whole(4, 0, route("s", trafficSplit=SPLIT, service="nowhere"))
    change = decode_replacement(body).unwrap()
    state.apply(1, encode_plan_command(PlanCommand(change, "", 0.0)))
    assert state.plan.version == 4
    assert not state.find_problem(change)


INSTANCE = Instance("i-1", 1)


@pytest.mark.parametrize(
    ("change", "revokes"),
    [
        pytest.param(FleetChange(removed=(INSTANCE,)), True, id="removed"),
        pytest.param(
            FleetChange(rows=(ServiceRows("diary", free_rows()),)), True, id="freed"
        ),
        pytest.param(
            FleetChange(
                rows=(ServiceRows("diary", (KeyRow(0, KEY_COUNT - 1, INSTANCE, 0),)),)
            ),
            False,
            id="assigned",
        ),
        pytest.param(FleetChange(), False, id="nothing"),
    ],
)
def test_changes_that_revoke_keys_are_remembered(
    change: FleetChange, revokes: bool
) -> None:
    """Guards against a new leader that gives a lease to a router with revoked keys.

    An upstream that leaves loses its keys with its router's lease, and stays in the
    table.
    """
    state = FleetState(DocumentReader())
    state.apply(7, encode_fleet_change(change))
    assert state.revocation_version == (7 if revokes else 0)
    restored = FleetState(DocumentReader())
    restored.restore(state.snapshot())
    assert restored.revocation_version == 7
