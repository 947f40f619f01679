"""Configurations for tests, in the form that operators write."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sassafraswharf.platform.documents import decode_replacement


if TYPE_CHECKING:
    from sassafraswharf.routing.plan_document import PlanChange


ROUTE = {
    "name": "lookup",
    "host": "a.example",
    "pathPrefix": "/",
    "routeType": "idempotent",
    "service": "s",
    "timeout": "1500ms",
    "targetLatency": "500ms",
    "priority": 1,
    "attempts": 2,
}


def first_plan(*routes: dict[str, object], **fields: object) -> PlanChange:
    """Return a first configuration; each route has its differences from ``ROUTE``.

    ``fields`` are further fields of the configuration.
    """
    whole = [{**ROUTE, **route} for route in routes]
    services = dict.fromkeys(str(route["service"]) for route in whole)
    document = {
        "version": "00000001",
        "baseVersion": "00000000",
        "routes": whole,
        "services": [{"name": name, "healthPath": "/healthz"} for name in services],
        **fields,
    }
    return decode_replacement(msgspec.json.encode(document)).unwrap()
