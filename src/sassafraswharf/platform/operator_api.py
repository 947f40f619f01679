"""HTTP handlers of a control host for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from aiohttp import web
from result import Err

from sassafraswharf.fleet.plan_answer import PlanOutcome
from sassafraswharf.platform import names
from sassafraswharf.platform.documents import decode_patch
from sassafraswharf.platform.documents import decode_replacement
from sassafraswharf.platform.documents import encode_document


if TYPE_CHECKING:
    from sassafraswharf.fleet.control_node import ControlNode


JSON: Final = "application/json"
STATUS_BY_OUTCOME: Final = {
    PlanOutcome.ACCEPTED: 200,
    PlanOutcome.CONFLICT: 412,
    PlanOutcome.INVALID: 400,
    PlanOutcome.NOT_LEADER: 503,
    PlanOutcome.UNKNOWN: 503,
}
DECODER_BY_PATH: Final = {
    names.REPLACE_PATH: decode_replacement,
    names.PATCH_PATH: decode_patch,
}


class OperatorApi:
    """Handles changes and reads of the configuration."""

    def __init__(self, control: ControlNode, port: int) -> None:
        """Serve one control host; all control hosts listen on the same ``port``."""
        self.control = control
        self.port = port

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle one request."""
        path = request.raw_path
        if path == names.READ_PATH:
            return self.read(path)
        decode = DECODER_BY_PATH.get(path)
        if decode is None:
            return web.Response(status=404)
        change = decode(await request.read())
        if isinstance(change, Err):
            return web.Response(status=400, text=change.err_value)
        answer = await self.control.change_plan(change.ok_value, request.remote or "")
        if answer.outcome is PlanOutcome.NOT_LEADER and answer.leader:
            return self.redirect(answer.leader, path)
        return web.Response(
            status=STATUS_BY_OUTCOME[answer.outcome], text=answer.message
        )

    def read(self, path: str) -> web.Response:
        """Return the newest configuration."""
        document = self.control.read_plan()
        if document is not None:
            return web.Response(body=encode_document(document), content_type=JSON)
        leader = self.control.leader_address
        if leader and leader != self.control.node.address:
            return self.redirect(leader, path)
        return web.Response(status=503, text="no leader is known")

    def redirect(self, leader: str, path: str) -> web.Response:
        """Redirect the client to the leader."""
        if leader == self.control.node.address:
            return web.Response(status=503, text="not yet the leader")
        location = f"http://{leader}:{self.port}{path}"
        return web.Response(status=307, headers={"Location": location})
