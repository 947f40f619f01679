"""Validates configurations; every error has code 2003 and names the field."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NewType

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.documents import DOCUMENT_DEFAULTS
from sassafraswharf.configuration.documents import DeploymentDocument
from sassafraswharf.failure import Failure
from sassafraswharf.settings.typed_values import Problem
from sassafraswharf.settings.typed_values import ProblemKind
from sassafraswharf.settings.typed_values import check_typed


if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafraswharf.configuration.documents import KeyRule
    from sassafraswharf.configuration.documents import OperationDocument
    from sassafraswharf.configuration.documents import ServiceDocument


DocumentBytes = NewType("DocumentBytes", bytes)
"""A validated configuration as canonical JSON: equal documents give equal bytes."""

MAX_DOCUMENT_BYTES: Final = 524_288
"""A document is sent in a single message, which is limited to 1 MiB."""

_KEY_FIELD: Final = {"path": "segment", "header": "name", "query": "name"}


def check_document(value: object) -> Result[DeploymentDocument, Failure]:
    """Return the configuration with defaults filled in, or code 2003."""
    checked = check_typed(value, DeploymentDocument, DOCUMENT_DEFAULTS)
    if isinstance(checked, Err):
        return _refusal(str(checked.err_value))
    document = checked.ok_value
    for problem in _problems(document):
        return _refusal(str(problem))
    if len(encode_document(document)) > MAX_DOCUMENT_BYTES:
        return _refusal(f"document: longer than {MAX_DOCUMENT_BYTES} bytes")
    return Ok(document)


def encode_document(document: DeploymentDocument) -> DocumentBytes:
    """Return the same bytes for equal documents."""
    return DocumentBytes(msgspec.json.encode(document, order="deterministic"))


def decode_document(data: bytes) -> Result[DeploymentDocument, Failure]:
    """Return the decoded and validated configuration, or code 2003."""
    if len(data) > MAX_DOCUMENT_BYTES:
        return _refusal(f"document: longer than {MAX_DOCUMENT_BYTES} bytes")
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return _refusal(f"document: {error}")
    return check_document(value)


def _refusal(message: str) -> Err[Failure]:
    return Err(Failure(ResultCode.CONFIGURATION_INVALID, message))


def _problems(document: DeploymentDocument) -> Iterator[Problem]:
    """Yield violations of rules that the types can't express."""
    weights = document["weights"]
    if not any((weights["unavailable"], weights["imbalance"], weights["churn"])):
        yield _invalid("weights", "at least one weight must be above 0")
    yield from _name_problems(document["services"])
    yield from _prefix_problems(document["services"])
    for position, service in enumerate(document["services"]):
        field = f"services[{position}]"
        yield from _key_problems(service["key"], f"{field}.key")
        yield from _operation_problems(service, f"{field}.operations")
        # A journal record must be retained for longer than its attempt may run.
        if service["retention_s"] < 2 * service["deadline_s"]:
            reason = "must be at least twice deadline_s"
            yield _invalid(f"{field}.retention_s", reason)


def _name_problems(services: list[ServiceDocument]) -> Iterator[Problem]:
    names: set[str] = set()
    for position, service in enumerate(services):
        if service["name"] in names:
            reason = f"{service['name']!r} is declared twice"
            yield _invalid(f"services[{position}].name", reason)
        names.add(service["name"])
    for position, service in enumerate(services):
        for place, called in enumerate(service["calls"]):
            if called not in names:
                field = f"services[{position}].calls[{place}]"
                yield _invalid(field, f"no service is named {called!r}")


def _prefix_problems(services: list[ServiceDocument]) -> Iterator[Problem]:
    """Yield overlapping prefixes, so that a path selects at most one service."""
    taken: dict[str, str] = {}
    for position, service in enumerate(services):
        field = f"services[{position}].prefix"
        prefix = service["prefix"]
        if prefix == "/-" or prefix.startswith("/-/"):
            yield _invalid(field, "paths under /-/ belong to the system")
        for other, name in taken.items():
            if f"{prefix}/".startswith(f"{other}/") or other.startswith(f"{prefix}/"):
                reason = f"{prefix!r} overlaps {other!r} of {name!r}"
                yield _invalid(field, reason)
        taken[prefix] = service["name"]


def _key_problems(key: KeyRule | None, field: str) -> Iterator[Problem]:
    if key is None:
        return
    needed = _KEY_FIELD[key["from"]]
    if needed not in key:
        yield Problem(
            ProblemKind.MISSING_FIELD, f"{field}.{needed}", "required field is missing"
        )
    for other in key.keys() - {"from", needed}:
        reason = f"not used with from = {key['from']!r}"
        yield Problem(ProblemKind.UNKNOWN_FIELD, f"{field}.{other}", reason)


def _operation_problems(service: ServiceDocument, field: str) -> Iterator[Problem]:
    seen: set[tuple[str, str]] = set()
    for position, operation in enumerate(service["operations"]):
        path = f"{field}[{position}].path"
        pair = (operation["method"], operation["path"])
        if pair in seen:
            yield _invalid(path, f"{pair[0]} {pair[1]} is declared twice")
        seen.add(pair)
        if not _has_key(operation, service["key"]):
            yield _invalid(path, f"{pair[1]!r} lacks the segment that holds the key")


def _has_key(operation: OperationDocument, key: KeyRule | None) -> bool:
    if key is None or key["from"] != "path":
        return True
    segments = [part for part in operation["path"].split("/") if part]
    return operation["path"].endswith("/**") or len(segments) > key.get("segment", 0)


def _invalid(field: str, reason: str) -> Problem:
    return Problem(ProblemKind.INVALID_VALUE, field, reason)
