"""Parses request bodies of the admin API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import msgspec

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.router.request_reader import read_body


if TYPE_CHECKING:
    from aiohttp import web
    from result import Result


MAX_BODY_BYTES: Final = 2_097_152
BODY_TIMEOUT_S: Final = 10.0


async def read_json(request: web.Request) -> Result[dict[str, object], Failure]:
    """Return the JSON object in the body of a request."""
    body = await read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT_S)
    if isinstance(body, Err):
        return body
    try:
        return Ok(msgspec.json.decode(body.ok_value, type=dict[str, object]))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.BAD_REQUEST, str(error)))


async def read_actor(request: web.Request) -> Result[str, Failure]:
    """Return the operator named in the ``actor`` field of a request."""
    body = await read_json(request)
    if isinstance(body, Err):
        return body
    actor = body.ok_value.get("actor")
    if not isinstance(actor, str) or not 0 < len(actor) <= 128:
        return Err(Failure(ResultCode.BAD_REQUEST, "actor has 1 to 128 characters"))
    return Ok(actor)
