"""Codec of the headers that two routers exchange with a forwarded request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from sassafraswharf.codes import ResultCode
from sassafraswharf.fleet.values import Instance
from sassafraswharf.gateway.work import LoadHint
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.gateway.work import Terms


if TYPE_CHECKING:
    from sassafraswharf.gateway.work import Work


HOP: Final = "Sassafraswharf-Hop"
OUTCOME: Final = "Sassafraswharf-Outcome"
SEPARATOR: Final = "|"
HOP_FIELDS: Final = 10
OUTCOME_FIELDS: Final = 9


class HopHeader(NamedTuple):
    """Metadata of a forwarded request for the router on the upstream's host."""

    instance: Instance
    service: str
    origin: str
    key: int | None
    repeatable: bool
    terms: Terms


def encode_hop(work: Work, instance: Instance, now: float) -> str:
    """Return the header of a forwarded request.

    Instants are sent as remaining milliseconds, since the hosts' clocks differ.
    """
    terms = work.terms
    fields = (
        instance.name,
        instance.started_ms,
        work.service,
        work.origin,
        "" if work.key is None else work.key,
        int(work.repeatable),
        terms.priority,
        int(terms.is_late),
        int((terms.goal_at - now) * 1000),
        int((terms.deadline_at - now) * 1000),
    )
    return SEPARATOR.join(str(field) for field in fields)


def decode_hop(text: str, now: float) -> HopHeader | None:
    """Parse the header of a forwarded request; return ``None`` if it is malformed."""
    parts = text.split(SEPARATOR)
    if len(parts) != HOP_FIELDS:
        return None
    try:
        key = int(parts[4]) if parts[4] else None
        terms = Terms(
            int(parts[6]),
            parts[7] == "1",
            now + int(parts[8]) / 1000,
            now + int(parts[9]) / 1000,
        )
        instance = Instance(parts[0], int(parts[1]))
    except ValueError:
        return None
    return HopHeader(instance, parts[2], parts[3], key, parts[5] == "1", terms)


def encode_outcome(rejection: Rejection | None, hint: LoadHint) -> str:
    """Return the header of an answer to another router."""
    code = int(rejection.code) if rejection else 0
    fields = (
        code,
        int(rejection.not_run) if rejection else 0,
        int(rejection.reached_upstream) if rejection else 1,
        int(rejection.retry_after_s * 1000) if rejection else 0,
        hint.running,
        hint.waiting,
        hint.limit,
        int(hint.service_s * 1_000_000),
        rejection.message.replace(SEPARATOR, "/") if rejection else "",
    )
    return SEPARATOR.join(str(field) for field in fields)


def decode_outcome(text: str) -> tuple[Rejection | None, LoadHint] | None:
    """Return the rejection, if any, and the load; ``None`` if malformed."""
    parts = text.split(SEPARATOR)
    if len(parts) != OUTCOME_FIELDS:
        return None
    try:
        numbers = [int(part) for part in parts[:-1]]
        code = ResultCode(numbers[0])
    except ValueError:
        return None
    hint = LoadHint(numbers[4], numbers[5], numbers[6], numbers[7] / 1_000_000)
    if code is ResultCode.OK:
        return None, hint
    rejection = Rejection(
        code, parts[-1], numbers[1] == 1, numbers[2] == 1, numbers[3] / 1000
    )
    return rejection, hint
