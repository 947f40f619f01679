"""Request deadlines, sent between hosts as remaining time because clocks differ."""

from __future__ import annotations

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


MAX_REMAINING_DIGITS = 9


def request_deadline(
    now: float, declared_s: float, remaining_ms: str | None
) -> Result[float, Failure]:
    """Return the instant at which a request expires.

    ``remaining_ms`` is the text of the ``Sassafraswharf-Deadline-Ms`` header.
    It can shorten the declared deadline and never extend it. The failures are
    3001 for text that is not a number and 3104 if no time is left.
    """
    if remaining_ms is None:
        return Ok(now + declared_s)
    if not (remaining_ms.isascii() and remaining_ms.isdigit()):
        return Err(Failure(ResultCode.BAD_REQUEST, "the deadline is not a number"))
    if len(remaining_ms) > MAX_REMAINING_DIGITS:
        return Ok(now + declared_s)
    remaining_s = int(remaining_ms) / 1000
    if remaining_s <= 0:
        return Err(Failure(ResultCode.DEADLINE_EXPIRED, "no time is left"))
    return Ok(now + min(declared_s, remaining_s))


def remaining_ms(deadline_at: float, now: float) -> int:
    """Return the header value for the next hop, rounded down, at least 0."""
    return max(0, int((deadline_at - now) * 1000))


def dispatch_deadline(deadline_at: float, lease_expires_at: float) -> float:
    """Return the deadline for the upstream, which never outlives the lease."""
    return min(deadline_at, lease_expires_at)
