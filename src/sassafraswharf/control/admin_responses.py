"""Response builders shared by the endpoints of the admin API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from aiohttp import web

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from sassafraswharf.configuration.commands import ChangeReply

    Body = dict[str, object]


HTTP_STATUS: Final = {
    ResultCode.OK: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.CONFIGURATION_INVALID: 400,
    ResultCode.OPERATOR_UNAUTHENTICATED: 401,
    ResultCode.UNKNOWN_UPSTREAM: 404,
    ResultCode.UNKNOWN_HOST: 404,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.CONFIGURATION_CONFLICT: 409,
    ResultCode.CHANGE_ID_REUSED: 409,
    ResultCode.INVALID_TRANSITION: 409,
    ResultCode.STALE_EPOCH: 409,
    ResultCode.VOTER_CHANGE_REFUSED: 409,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.NOT_LEADER: 421,
    ResultCode.PROPOSAL_TIMEOUT: 504,
}


def not_leader_failure() -> Failure:
    """Return the failure for a read at a replica that may be stale."""
    return Failure(ResultCode.NOT_LEADER, "this control host does not lead the group")


def error_response(failure: Failure, status: int | None = None) -> web.Response:
    """Return a failure as a JSON error response."""
    return web.json_response(
        {"code": int(failure.code), "message": failure.message},
        status=status or HTTP_STATUS.get(failure.code, 503),
    )


def change_response(reply: ChangeReply) -> web.Response:
    """Return the response to a configuration change."""
    body: Body = {
        "code": int(reply.code),
        "message": reply.message,
        "change_id": reply.change_id,
        "revision": reply.revision,
    }
    if reply.code:
        winner = {"change_id": reply.winner_id, "author": reply.winner_author}
        body["winner"] = winner if reply.winner_id else None
    return web.json_response(body, status=HTTP_STATUS.get(reply.code, 503))
