"""Answers of the router, and their conversion to HTTP responses."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import msgspec

from aiohttp import web
from multidict import CIMultiDict

from sassafraswharf.codes import ResultCode
from sassafraswharf.router import headers


if TYPE_CHECKING:
    from sassafraswharf.failure import Failure


HTTP_STATUS: Final = {
    ResultCode.BAD_REQUEST: 400,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.KEY_MISSING: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.IDEMPOTENCY_KEY_MISMATCH: 422,
    ResultCode.UNKNOWN_OPERATION: 405,
    ResultCode.NOT_OWNER: 421,
    ResultCode.QUARANTINED: 422,
    ResultCode.DEADLINE_EXPIRED: 504,
    ResultCode.OUTCOME_UNKNOWN: 502,
    ResultCode.ANSWER_INCOMPLETE: 502,
    ResultCode.UPSTREAM_TIMEOUT: 504,
    ResultCode.JOURNAL_UNAVAILABLE: 502,
    ResultCode.MESSAGE_UNAUTHENTICATED: 403,
    ResultCode.MESSAGE_REPLAYED: 403,
}
DEFAULT_REFUSAL_STATUS: Final = 503
FIRST_MAY_HAVE_RUN_CODE: Final = 3200
DEFAULT_RETRY_AFTER_S: Final = 1.0


class Answer(NamedTuple):
    """A complete answer: from an upstream, or a refusal by the router.

    ``code`` is 0 for an answer from an upstream. ``not_run`` is ``""`` or the scope
    of a refusal: ``attempt`` or ``key`` (section 4.9 of the design).
    """

    code: ResultCode
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    not_run: str = ""


def refusal(
    failure: Failure, not_run: str = "attempt", retry_after_s: float | None = None
) -> Answer:
    """Return the answer for a request without a complete answer from an upstream.

    Codes from 3200 mean that the request may have run, so they never carry the
    not-run header.
    """
    code = failure.code
    may_have_run = (
        code >= FIRST_MAY_HAVE_RUN_CODE and code < FIRST_MAY_HAVE_RUN_CODE + 100
    )
    answer_headers = [("Content-Type", "application/json")]
    status = HTTP_STATUS.get(code, DEFAULT_REFUSAL_STATUS)
    if status == DEFAULT_REFUSAL_STATUS:
        wait_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
        answer_headers.append(("Retry-After", str(max(1, math.ceil(wait_s)))))
    body = {"code": int(code), "message": failure.message}
    return Answer(
        code,
        status,
        answer_headers,
        msgspec.json.encode(body),
        "" if may_have_run else not_run,
    )


def to_response(answer: Answer, owner_address: str, *, close: bool) -> web.Response:
    """Return the HTTP response for an answer.

    ``owner_address`` tells the caller where to send its next request for the
    same key; it is empty when there is no single owner.
    """
    fields = CIMultiDict(answer.headers)
    fields[headers.CODE] = str(int(answer.code))
    if answer.not_run:
        fields[headers.NOT_RUN] = answer.not_run
    if owner_address:
        fields[headers.OWNER] = f"http://{owner_address}"
    response = web.Response(status=answer.status, headers=fields, body=answer.body)
    if close:
        response.force_close()
    return response
