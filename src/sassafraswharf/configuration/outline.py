"""Reads the fields of a document that the replicated state machine depends on.

These rules are part of the replicated state machine. They stay the same when
the checks in ``validation`` change, so that replicas of different versions agree.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


_MAX_DETAIL_CHARS: Final = 400

Fields: TypeAlias = dict[str, object]


class Outline(NamedTuple):
    """The services of a document by name, and its other fields."""

    services: dict[str, Fields]
    others: Fields


EMPTY_OUTLINE: Final = Outline({}, {})


def read_outline(document: bytes) -> Result[Outline, Failure]:
    """Return the outline of an encoded document, or code 2003."""
    try:
        others = msgspec.json.decode(document, type=Fields)
        services = msgspec.convert(others.pop("services", []), list[Fields])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(Failure(ResultCode.CONFIGURATION_INVALID, f"document: {error}"))
    return Ok(
        Outline({str(service.get("name")): service for service in services}, others)
    )


def find_slot_count_change(before: Outline, after: Outline) -> str | None:
    """Return the name of a service whose slot count differs, or None.

    The slot of a key depends on the slot count. While routers move from one
    revision to the next, a key would map to two slots with two owners.
    """
    for name, service in after.services.items():
        known = before.services.get(name, service)
        if known.get("slot_count") != service.get("slot_count"):
            return name
    return None


def describe_change(before: Outline, after: Outline) -> str:
    """Return a one-line summary of the services and other fields that changed.

    >>> old = Outline({"diary": {"deadline_s": 5}}, {})
    >>> new = Outline({"diary": {"deadline_s": 2}, "deposit": {}}, {})
    >>> describe_change(old, new)
    'added deposit; changed diary'
    """
    old, new = before.services, after.services
    changed = [name for name in old if new.get(name, old[name]) != old[name]]
    fields = sorted(before.others.keys() | after.others.keys())
    changed += [
        field for field in fields if before.others.get(field) != after.others.get(field)
    ]
    parts = {
        "added": [name for name in new if name not in old],
        "removed": [name for name in old if name not in new],
        "changed": changed,
    }
    text = "; ".join(
        f"{verb} {', '.join(names)}" for verb, names in parts.items() if names
    )
    return text[:_MAX_DETAIL_CHARS] or "no difference"
