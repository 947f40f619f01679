"""Maps a request to its service, operation and shard key.

Services are compiled once per configuration revision. Matching looks up one
dictionary per path segment, so its cost depends on the length of the path and
not on the number of services, operations, upstreams or slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import unquote
from urllib.parse import unquote_plus

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import ServiceName


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from multidict import MultiMapping

    from sassafraswharf.configuration.documents import KeyRule
    from sassafraswharf.configuration.documents import ServiceDocument


class Classification(NamedTuple):
    """The service, operation, key and limits that apply to one request."""

    service: ServiceName
    operation: str
    repeatable: bool
    key: str | None
    slot_count: int
    deadline_s: float
    max_body_bytes: int


class Operation(NamedTuple):
    """A declared operation of a service."""

    name: str
    repeatable: bool


class PatternNode:
    """A node in the trie of path patterns of one service."""

    __slots__ = ("literals", "operations", "suffix_operations", "wildcard")

    def __init__(self) -> None:
        self.literals: dict[str, PatternNode] = {}
        self.wildcard: PatternNode | None = None
        self.operations: dict[str, Operation] = {}
        self.suffix_operations: dict[str, Operation] = {}

    def add(self, method: str, pattern: Sequence[str], operation: Operation) -> bool:
        """Add a pattern and return whether it was new."""
        node = self
        target = self.operations
        for segment in pattern:
            if segment == "**":
                target = node.suffix_operations
                break
            node = node.child(segment)
            target = node.operations
        if method in target:
            return False
        target[method] = operation
        return True

    def child(self, segment: str) -> PatternNode:
        """Return the node below a pattern segment, created if necessary."""
        if segment != "*":
            return self.literals.setdefault(segment, PatternNode())
        if self.wildcard is None:
            self.wildcard = PatternNode()
        return self.wildcard

    def find(
        self, method: str, segments: Sequence[str], position: int
    ) -> Operation | None:
        """Return the most specific operation; literals precede wildcards."""
        if position == len(segments):
            return self.operations.get(method)
        for node in (self.literals.get(segments[position]), self.wildcard):
            if node is not None:
                found = node.find(method, segments, position + 1)
                if found is not None:
                    return found
        return self.suffix_operations.get(method)


class CompiledService(NamedTuple):
    """A service document in the form that requests are matched against."""

    document: ServiceDocument
    prefix: tuple[str, ...]
    patterns: PatternNode


MAX_PATH_SEGMENTS = 64


class RequestMatcher:
    """Classifies requests by the services of one configuration revision."""

    def __init__(self, services: Iterable[CompiledService]) -> None:
        self.services = {service.prefix: service for service in services}
        self.prefix_lengths = sorted(
            {len(prefix) for prefix in self.services}, reverse=True
        )

    def classify(
        self, method: str, path: str, query: str, headers: MultiMapping[str]
    ) -> Result[Classification, Failure]:
        """Classify a request by its raw, still percent-encoded path and query.

        The failures are 3001 for an ambiguous path or key, 3002 for an unknown
        service, 3003 for a missing key and 3006 for an unknown operation. None
        of them reaches an upstream.
        """
        segments = path_segments(path)
        if segments is None:
            return _refused(ResultCode.BAD_REQUEST, f"path {path!r} is ambiguous")
        service = self.service_of(segments)
        if service is None:
            return _refused(ResultCode.UNKNOWN_SERVICE, f"no service at {path!r}")
        document = service.document
        depth = len(service.prefix)
        operation = service.patterns.find(method, segments, depth)
        if operation is None:
            reason = f"{document['name']} declares no {method} for {path!r}"
            return _refused(ResultCode.UNKNOWN_OPERATION, reason)
        keys = _keys(document["key"], segments[depth:], query, headers)
        if len(set(keys)) > 1:
            return _refused(ResultCode.BAD_REQUEST, "the request has two keys")
        if document["key"] is not None and (not keys or not keys[0]):
            return _refused(ResultCode.KEY_MISSING, "the request has no key")
        return Ok(
            Classification(
                ServiceName(document["name"]),
                operation.name,
                operation.repeatable,
                keys[0] if keys else None,
                document["slot_count"],
                document["deadline_s"],
                document["max_body_bytes"],
            )
        )

    def service_of(self, segments: tuple[str, ...]) -> CompiledService | None:
        """Return the service with the longest prefix of the path."""
        for depth in self.prefix_lengths:
            service = self.services.get(segments[:depth])
            if service is not None:
                return service
        return None


def compile_services(
    documents: Iterable[ServiceDocument],
) -> Result[RequestMatcher, Failure]:
    """Compile service documents, or return 2003 for a conflict between them."""
    compiled: dict[tuple[str, ...], CompiledService] = {}
    for document in documents:
        prefix = path_segments(document["prefix"])
        if prefix is None or prefix in compiled:
            return _invalid(f"prefix {document['prefix']!r} can't be used")
        patterns = PatternNode()
        for declared in document["operations"]:
            text = f"{declared['method']} {declared['path']}"
            pattern = path_segments(declared["path"])
            if pattern is None or "**" in pattern[:-1]:
                return _invalid(f"operation {text!r} has an unusable path")
            operation = Operation(text, declared["run"] == "repeatable")
            if not patterns.add(declared["method"], pattern, operation):
                return _invalid(f"operation {text!r} repeats another one")
        compiled[prefix] = CompiledService(document, prefix, patterns)
    return Ok(RequestMatcher(compiled.values()))


def path_segments(path: str) -> tuple[str, ...] | None:
    """Return the decoded segments, or ``None`` for an ambiguous path.

    Segments are decoded after the split, so an encoded slash stays inside its
    segment. Empty and dot segments are refused because an upstream may
    normalise them and find another key than the router.
    """
    if not path.startswith("/"):
        return None
    if path == "/":
        return ()
    segments = path[1:].removesuffix("/").split("/")
    if "%" in path:
        segments = [unquote(segment) for segment in segments]
    if len(segments) > MAX_PATH_SEGMENTS:
        return None
    if "" in segments or "." in segments or ".." in segments:
        return None
    return tuple(segments)


def services_in_call_cycles(documents: Iterable[ServiceDocument]) -> set[ServiceName]:
    """Return the services that can be called again while they serve a call.

    Only these need concurrency slots reserved for nested calls: without a
    cycle the last service of a call chain waits for no other service.
    """
    calls = {document["name"]: set(document["calls"]) for document in documents}
    return {ServiceName(name) for name in calls if name in _reachable(calls, name)}


def _reachable(calls: Mapping[str, set[str]], start: str) -> set[str]:
    reached: set[str] = set()
    pending = list(calls[start])
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending.extend(calls.get(name, ()))
    return reached


def _keys(
    source: KeyRule | None,
    segments: Sequence[str],
    query: str,
    headers: MultiMapping[str],
) -> Sequence[str]:
    if source is None:
        return ()
    if source["from"] == "path":
        return segments[source["segment"] : source["segment"] + 1]
    if source["from"] == "header":
        return headers.getall(source["name"], [])
    return [
        unquote_plus(value)
        for name, _, value in (part.partition("=") for part in query.split("&"))
        if name == source["name"] or unquote_plus(name) == source["name"]
    ]


def _refused(code: ResultCode, message: str) -> Err[Failure]:
    return Err(Failure(code, message))


def _invalid(message: str) -> Err[Failure]:
    return Err(Failure(ResultCode.CONFIGURATION_INVALID, message))
