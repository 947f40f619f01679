from __future__ import annotations

from typing import Any

import pytest

from sassafraswharf.configuration.validation import MAX_DOCUMENT_BYTES
from sassafraswharf.configuration.validation import check_document
from sassafraswharf.configuration.validation import decode_document
from sassafraswharf.configuration.validation import encode_document


def service(**fields: Any) -> dict[str, Any]:
    operation = {"method": "GET", "path": "/*", "run": "repeatable"}
    key = {"from": "path", "segment": 0}
    base = {"name": "diary", "prefix": "/diary", "key": key, "operations": [operation]}
    return base | fields


def operation(path: str, method: str = "GET") -> dict[str, Any]:
    return {"method": method, "path": path, "run": "at_most_once"}


def document(*services: object, **fields: Any) -> dict[str, Any]:
    weights = {"unavailable": 5, "imbalance": 2, "churn": 1}
    return {"weights": weights, "services": list(services)} | fields


def test_defaults_are_filled_in() -> None:
    """Guards against a router that has no deadline or slot count."""
    checked = check_document(document(service())).unwrap()
    assert checked["services"][0]["slot_count"] == 4_096
    assert checked["services"][0]["admit"] == "operator"
    assert checked["placement"]["moves_per_minute"] == 0


def test_equal_documents_have_equal_bytes() -> None:
    """Guards against a resend that looks different because fields are reordered."""
    first = check_document(document(service())).unwrap()
    second = check_document(dict(reversed(document(service()).items()))).unwrap()
    assert encode_document(first) == encode_document(second)
    assert decode_document(encode_document(first)).unwrap() == first


@pytest.mark.parametrize(
    ("value", "path"),
    [
        (None, "document"),
        (document(colour=1), "colour"),
        ({"services": []}, "weights"),
        (document(weights={"unavailable": 0, "imbalance": 0, "churn": 0}), "weights"),
        (document(service(slot_count=0)), "services[0].slot_count"),
        (document(service(slot_count=65_537)), "services[0].slot_count"),
        (document(service(colour=1)), "services[0].colour"),
        (document(service(retention_s=59)), "services[0].retention_s"),
        (document(service(retention_s=601)), "services[0].retention_s"),
        (document(service(retention_s=60, deadline_s=31)), "services[0].retention_s"),
        (document(service(name="A b")), "services[0].name"),
        (document(service(prefix="/-/grant")), "services[0].prefix"),
        (document(service(prefix="diary")), "services[0].prefix"),
        (document(service(operations=[])), "services[0].operations"),
        (document(service(operations=[operation("*")])), "operations[0].path"),
        (document(service(operations=[operation("/")])), "operations[0].path"),
        (document(service(operations=[operation("/*")] * 2)), "operations[1].path"),
        (
            document(service(operations=[operation("/*", "CUT")])),
            "operations[0].method",
        ),
        (document(service(calls=["other"])), "services[0].calls[0]"),
        (document(service(key={"from": "path"})), "services[0].key.segment"),
        (document(service(key={"from": "cookie"})), "services[0].key.from"),
        (
            document(service(key={"from": "query", "name": "k", "segment": 1})),
            "services[0].key.segment",
        ),
        (document(service(), service(prefix="/other")), "services[1].name"),
        (document(service(), service(name="b")), "services[1].prefix"),
        (document(service(), service(name="b", prefix="/diary/x")), "[1].prefix"),
    ],
)
def test_a_refusal_names_the_field(value: object, path: str) -> None:
    """Guards against an accepted configuration that routers can't apply."""
    failure = check_document(value).unwrap_err()
    assert failure.code == 2003
    assert path in failure.message


@pytest.mark.parametrize(
    "data", [b"", b"{", b"\xff", b"[" * 100_000, b" " * (MAX_DOCUMENT_BYTES + 1)]
)
def test_damaged_bytes_are_refused(data: bytes) -> None:
    """Guards against an exception on a document damaged in transit."""
    assert decode_document(data).unwrap_err().code == 2003
