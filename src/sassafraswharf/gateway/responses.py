"""HTTP responses to callers and to other routers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from typing import TYPE_CHECKING
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from sassafraswharf.codes import ResultCode


if TYPE_CHECKING:
    from sassafraswharf.gateway.work import Answer
    from sassafraswharf.gateway.work import Rejection


STATUS_OF: Final = {
    ResultCode.BAD_REQUEST: 400,
    ResultCode.KEY_MISSING: 400,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UPSTREAM_TIMEOUT: 504,
}
FIRST_SERVER_ERROR: Final = 500
CALLER_ERROR_CODES: Final = frozenset(
    code for code, status in STATUS_OF.items() if status < FIRST_SERVER_ERROR
)
"""Codes that tell a caller not to retry its request."""
NOT_RUN_STATUS: Final = 503
UNKNOWN_OUTCOME_STATUS: Final = 502
LINGER_RESET: Final = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0, with which a close sends a reset."""
DEFAULT_RETRY_AFTER_S: Final = 0.1
"""Time after which a caller may retry if no better estimate is known."""


async def relay_answer(
    request: web.BaseRequest,
    answer: Answer,
    added: dict[str, str],
    left_s: float,
    *,
    close: bool,
) -> web.StreamResponse:
    """Return an upstream's answer unchanged, with headers ``added``.

    A streamed answer that breaks off, or has not ended after ``left_s``, ends with a
    reset of the connection, so that the receiver doesn't take a truncated body for a
    complete one; the error is raised.
    """
    headers = CIMultiDict(answer.headers)
    headers.update(added)
    if answer.rest is None:
        response = web.Response(status=answer.status, headers=headers, body=answer.body)
        if close:
            response.force_close()
        return response
    stream = web.StreamResponse(status=answer.status, headers=headers)
    if close:
        stream.force_close()
    whole = False
    try:
        async with asyncio.timeout(left_s):
            await stream.prepare(request)
            await stream.write(answer.body)
            async for part in answer.rest:
                await stream.write(part)
            await stream.write_eof()
        whole = True
    finally:
        answer.rest.close(whole=whole)
        if not whole and request.transport is not None:
            reset_connection(request.transport)
    return stream


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset, so that its peer sees an error.

    ``abort`` alone closes it in order, which marks the end of a body without length.
    """
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def rejection_response(
    rejection: Rejection, route: str, echoed: dict[str, str], *, close: bool
) -> web.Response:
    """Return the error response of a rejection, with ``Retry-After`` if not run.

    ``echoed`` are request headers that the response repeats.
    """
    default = NOT_RUN_STATUS if rejection.not_run else UNKNOWN_OUTCOME_STATUS
    status = STATUS_OF.get(rejection.code, default)
    headers = dict(echoed)
    if status == NOT_RUN_STATUS:
        wait_s = rejection.retry_after_s or DEFAULT_RETRY_AFTER_S
        headers["Retry-After"] = f"{wait_s:.3f}"
    text = f"{int(rejection.code)} {route}: {rejection.message}\n"
    response = web.Response(status=status, headers=headers, text=text)
    if close:
        response.force_close()
    return response
