from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from multidict import CIMultiDict

from sassafraswharf.codes import ResultCode
from sassafraswharf.requests.classification import compile_services
from sassafraswharf.requests.classification import services_in_call_cycles


if TYPE_CHECKING:
    from sassafraswharf.configuration.documents import KeyRule
    from sassafraswharf.configuration.documents import OperationDocument
    from sassafraswharf.configuration.documents import ServiceDocument


OPERATIONS: list[OperationDocument] = [
    {"method": "GET", "path": "/items/*", "run": "repeatable"},
    {"method": "GET", "path": "/items/new", "run": "repeatable"},
    {"method": "POST", "path": "/items/*", "run": "at_most_once"},
    {"method": "GET", "path": "/files/**", "run": "repeatable"},
]


def service(
    name: str, prefix: str, key: KeyRule | None, calls: tuple[str, ...] = ()
) -> ServiceDocument:
    return {
        "name": name,
        "prefix": prefix,
        "key": key,
        "slot_count": 4096,
        "operations": [*OPERATIONS],
        "deadline_s": 2.0,
        "max_body_bytes": 1000,
        "admit": "any",
        "calls": [*calls],
    }


MATCHER = compile_services(
    [
        service("diary", "/diary", {"from": "path", "segment": 1}),
        service("inner", "/diary/items/deep", None),
        service("ticket", "/ticket", {"from": "header", "name": "Counter"}),
        service("ledger", "/ledger", {"from": "query", "name": "book"}),
    ]
).unwrap()


ITEM = "GET /items/*"
POST = "POST /items/*"
TWO_KEYS = [("Counter", "7"), ("Counter", "8")]


@pytest.mark.parametrize(
    ("request_line", "headers", "expected"),
    [
        ("GET /diary/items/a", [], ("diary", ITEM, "a")),
        ("GET /diary/items/new", [], ("diary", "GET /items/new", "new")),
        ("POST /diary/items/a/", [], ("diary", POST, "a")),
        ("POST /diary/items/new", [], ("diary", POST, "new")),
        ("GET /di%61ry/items/a%2Fb", [], ("diary", ITEM, "a/b")),
        ("GET /diary/files/x/y", [], ("diary", "GET /files/**", "x")),
        ("GET /diary/items/deep/items/a", [], ("inner", ITEM, None)),
        ("GET /ticket/items/1", [("counter", "7")], ("ticket", ITEM, "7")),
        ("GET /ledger/items/1?a=1&b%6Fok=x+y", [], ("ledger", ITEM, "x y")),
        ("GET /nothing", [], ResultCode.UNKNOWN_SERVICE),
        ("GET /diaryitems", [], ResultCode.UNKNOWN_SERVICE),
        ("PUT /diary/items/a", [], ResultCode.UNKNOWN_OPERATION),
        ("GET /diary/files", [], ResultCode.UNKNOWN_OPERATION),
        ("GET /diary/items/../items/a", [], ResultCode.BAD_REQUEST),
        ("GET /diary/%2E%2e/items/a", [], ResultCode.BAD_REQUEST),
        ("GET /diary//items/a", [], ResultCode.BAD_REQUEST),
        ("GET /" + "a/" * 65, [], ResultCode.BAD_REQUEST),
        ("GET /ticket/items/1", [], ResultCode.KEY_MISSING),
        ("GET /ticket/items/1", TWO_KEYS, ResultCode.BAD_REQUEST),
        ("GET /ledger/items/1?book=1&book=2", [], ResultCode.BAD_REQUEST),
        ("GET /ledger/items/1?book=", [], ResultCode.KEY_MISSING),
    ],
)
def test_classify(
    request_line: str,
    headers: list[tuple[str, str]],
    expected: tuple[str, str, str | None] | ResultCode,
) -> None:
    """Guards against a router and an upstream that read different keys."""
    method, target = request_line.split(" ")
    path, _, query = target.partition("?")
    result = MATCHER.classify(method, path, query, CIMultiDict(headers))
    if isinstance(expected, ResultCode):
        assert result.unwrap_err().code is expected
        return
    found = result.unwrap()
    assert (found.service, found.operation, found.key) == expected
    assert found.repeatable is (method == "GET")


@pytest.mark.parametrize(
    ("prefixes", "path"),
    [
        (("/a", "/a/"), "/x"),
        (("a",), "/x"),
        (("/a",), ""),
        (("/a",), "/**/x"),
        (("/a",), "/items/*"),
    ],
)
def test_conflicting_documents_are_refused(
    prefixes: tuple[str, ...], path: str
) -> None:
    """Guards against two declarations that claim the same request."""
    documents = [service("s", prefix, None) for prefix in prefixes]
    documents[0]["operations"].append(
        {"method": "GET", "path": path, "run": "at_most_once"}
    )
    code = compile_services(documents).unwrap_err().code
    assert code is ResultCode.CONFIGURATION_INVALID


def test_only_services_in_a_cycle_reserve_slots_for_nested_calls() -> None:
    """Guards against slots reserved where no deadlock is possible."""
    documents = [
        service("a", "/a", None, ("b",)),
        service("b", "/b", None, ("a", "c")),
        service("c", "/c", None),
        service("d", "/d", None, ("d",)),
    ]
    assert services_in_call_cycles(documents) == {"a", "b", "d"}
