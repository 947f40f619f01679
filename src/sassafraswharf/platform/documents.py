"""Decodes and encodes configurations in the provider's JSON format."""

from __future__ import annotations

import re

from hashlib import blake2b
from typing import Final
from typing import NotRequired
from typing import TypedDict

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.platform.json_values import MAX_INT64
from sassafraswharf.platform.json_values import Int64
from sassafraswharf.platform.json_values import NonNegative
from sassafraswharf.platform.json_values import is_nested_too_deeply
from sassafraswharf.routing.plan_document import PlanChange
from sassafraswharf.routing.plan_document import PlanDocument
from sassafraswharf.routing.plan_document import PlanItem
from sassafraswharf.routing.values import CallerLimits
from sassafraswharf.routing.values import Route
from sassafraswharf.routing.values import RoutedService
from sassafraswharf.routing.values import RouteTarget
from sassafraswharf.settings.durations import parse_duration


REPEATABLE_BY_ROUTE_TYPE: Final = {"idempotent": True, "non_idempotent": False}
VERSION_HEX_DIGITS: Final = 8
VERSION_PATTERN: Final = re.compile(r"[0-9a-fA-F]{1,16}")
DIGEST_BYTES: Final = 16


class NamedDocument(TypedDict):
    """The field that routes and services have in common."""

    name: str


class TrafficSplitDocument(TypedDict):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class RouteDocument(TypedDict):
    """A route; ``routeType`` says whether requests are idempotent."""

    name: str
    host: str
    pathPrefix: str
    routeType: str
    timeout: str
    targetLatency: NotRequired[str]
    priority: NotRequired[Int64]
    attempts: NotRequired[Int64]
    service: NotRequired[str]
    trafficSplit: NotRequired[list[TrafficSplitDocument]]


class ServiceDocument(TypedDict):
    """A service; ``sharded`` partitions it by key."""

    name: str
    healthPath: NotRequired[str]
    maxConnections: NotRequired[Int64]
    sharded: NotRequired[bool]
    warmup: NotRequired[str]


class LimitsDocument(TypedDict):
    """Limits on the requests and connections of callers."""

    maxHeaderBytes: NotRequired[NonNegative]
    maxBodyBytes: NotRequired[NonNegative]
    headerTimeout: NotRequired[str]
    idleTimeout: NotRequired[str]


class ReplaceDocument(TypedDict):
    """A complete configuration; versions are hexadecimal numbers."""

    version: str
    baseVersion: NotRequired[str]
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: NotRequired[msgspec.Raw]


class ItemsDocument(TypedDict):
    """Routes and services that a patch adds or replaces."""

    routes: NotRequired[list[msgspec.Raw]]
    services: NotRequired[list[msgspec.Raw]]


class NamesDocument(TypedDict):
    """Names of routes and services that a patch removes."""

    routes: NotRequired[list[str]]
    services: NotRequired[list[str]]


class PatchDocument(TypedDict):
    """A patch that adds, replaces and removes named items."""

    version: str
    baseVersion: NotRequired[str]
    upsert: NotRequired[ItemsDocument]
    remove: NotRequired[NamesDocument]


NAME_DECODER = msgspec.json.Decoder(NamedDocument)
ROUTE_DECODER = msgspec.json.Decoder(RouteDocument)
SERVICE_DECODER = msgspec.json.Decoder(ServiceDocument)
LIMITS_DECODER = msgspec.json.Decoder(LimitsDocument)
REPLACE_DECODER = msgspec.json.Decoder(ReplaceDocument)
PATCH_DECODER = msgspec.json.Decoder(PatchDocument)
DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    ValueError,
    RecursionError,
)


class DocumentReader:
    """Decodes the routes, services and limits of a configuration."""

    def read_route(self, content: bytes) -> Result[Route, str]:
        """Decode a route, or return what is wrong with it."""
        try:
            document = ROUTE_DECODER.decode(content)
            timeout_s = parse_seconds(document["timeout"])
            goal_s = parse_seconds(document.get("targetLatency", document["timeout"]))
        except DECODE_ERRORS as error:
            return Err(str(error))
        repeatable = REPEATABLE_BY_ROUTE_TYPE.get(document["routeType"])
        if repeatable is None:
            return Err(f"unknown type {document['routeType']!r}")
        split = document.get("trafficSplit")
        if split is None and "service" not in document:
            return Err("neither a service nor a split")
        targets = (
            tuple(RouteTarget(one["service"], one["weight"]) for one in split)
            if split is not None
            else (RouteTarget(document["service"], 1),)
        )
        return Ok(
            Route(
                document["name"],
                document["host"],
                document["pathPrefix"],
                repeatable,
                timeout_s,
                goal_s,
                document.get("priority", 0),
                document.get("attempts", 1),
                targets,
            )
        )

    def read_service_names(self, content: bytes) -> tuple[str, ...]:
        """Return the services of a route: of its split and the one beside that."""
        try:
            document = ROUTE_DECODER.decode(content)
        except DECODE_ERRORS:
            return ()
        split = tuple(one["service"] for one in document.get("trafficSplit", ()))
        return (*split, document["service"]) if "service" in document else split

    def read_service(self, content: bytes) -> Result[RoutedService, str]:
        """Decode a service, or return what is wrong with it."""
        try:
            document = SERVICE_DECODER.decode(content)
            warm_up_s = parse_seconds(document.get("warmup", "0s"))
        except DECODE_ERRORS as error:
            return Err(str(error))
        return Ok(
            RoutedService(
                document["name"],
                document.get("healthPath", ""),
                document.get("maxConnections", 0),
                document.get("sharded", False),
                warm_up_s,
            )
        )

    def read_limits(self, content: bytes) -> Result[CallerLimits, str]:
        """Decode the limits for callers, or return what is wrong with them."""
        default = CallerLimits()
        try:
            document = LIMITS_DECODER.decode(content)
            limits = CallerLimits(
                document.get("maxHeaderBytes", default.max_header_bytes),
                document.get("maxBodyBytes", default.max_body_bytes),
                parse_seconds(document.get("headerTimeout", "3s")),
                parse_seconds(document.get("idleTimeout", "15s")),
            )
        except DECODE_ERRORS as error:
            return Err(str(error))
        return Ok(limits)


def decode_replacement(body: bytes) -> Result[PlanChange, str]:
    """Decode a request that replaces the whole configuration."""
    try:
        document = REPLACE_DECODER.decode(body)
        return Ok(
            PlanChange(
                parse_version(document["version"]),
                parse_version(document.get("baseVersion", "0")),
                change_digest(b"whole", body),
                True,
                plan_items(document["routes"]),
                plan_items(document["services"]),
                limits=read_raw(document.get("limits", msgspec.Raw(b""))),
            )
        )
    except DECODE_ERRORS as error:
        return Err(str(error))


def decode_patch(body: bytes) -> Result[PlanChange, str]:
    """Decode a request that patches named items."""
    try:
        document = PATCH_DECODER.decode(body)
        upsert = document.get("upsert", ItemsDocument())
        remove = document.get("remove", NamesDocument())
        return Ok(
            PlanChange(
                parse_version(document["version"]),
                parse_version(document.get("baseVersion", "0")),
                change_digest(b"items", body),
                False,
                plan_items(upsert.get("routes", [])),
                plan_items(upsert.get("services", [])),
                tuple(remove.get("routes", [])),
                tuple(remove.get("services", [])),
            )
        )
    except DECODE_ERRORS as error:
        return Err(str(error))


def encode_document(document: PlanDocument) -> bytes:
    """Encode a whole configuration."""
    content: dict[str, object] = {
        "version": f"{document.version:0{VERSION_HEX_DIGITS}x}",
        "routes": [msgspec.Raw(one) for one in document.routes.values()],
        "services": [msgspec.Raw(one) for one in document.services.values()],
    }
    if document.limits:
        content["limits"] = msgspec.Raw(document.limits)
    return msgspec.json.encode(content)


def plan_items(contents: list[msgspec.Raw]) -> tuple[PlanItem, ...]:
    """Decode the names of items, keep their JSON; raises one of ``DECODE_ERRORS``."""
    return tuple(
        PlanItem(NAME_DECODER.decode(one)["name"], read_raw(one)) for one in contents
    )


def read_raw(content: msgspec.Raw) -> bytes:
    """Return the text of a value; raises ``ValueError`` if it is nested too deeply.

    A replica decodes the text again when it applies the change, and all replicas
    must come to the same result.
    """
    text = bytes(content)
    if is_nested_too_deeply(text):
        raise ValueError("nested too deeply")
    return text


def parse_version(text: str) -> int:
    """Parse a hexadecimal version of at most 63 bits; raises ``ValueError``.

    >>> parse_version("0000000c")
    12
    """
    if VERSION_PATTERN.fullmatch(text) is None or int(text, 16) > MAX_INT64:
        raise ValueError("the version is not a hexadecimal number in range")
    return int(text, 16)


def change_digest(kind: bytes, body: bytes) -> bytes:
    """Return the digest by which a resent change is recognised."""
    return blake2b(body, digest_size=DIGEST_BYTES, person=kind).digest()


def parse_seconds(text: str) -> float:
    """Parse a duration into seconds; raises ``ValueError`` if it is malformed."""
    parsed = parse_duration(text)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value)
    return parsed.ok_value
