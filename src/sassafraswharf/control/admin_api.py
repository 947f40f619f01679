"""The admin API under ``/v1``; ``docs/admin-api.md`` describes it."""

from __future__ import annotations

import hmac
import time

from typing import TYPE_CHECKING
from typing import Final

import msgspec

from aiohttp import web
from result import Err
from result import Ok

from sassafraswharf.cell.codec import decode_reply
from sassafraswharf.cell.codec import encode_command
from sassafraswharf.cell.commands import AdmitUpstream
from sassafraswharf.cell.commands import DrainUpstream
from sassafraswharf.cell.commands import ReleaseJournal
from sassafraswharf.cell.commands import ReleaseSuspect
from sassafraswharf.cell.commands import RemoveUpstream
from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.commands import ApplyChange
from sassafraswharf.configuration.commands import check_change
from sassafraswharf.configuration.commands import decode_reply as decode_change_reply
from sassafraswharf.configuration.commands import encode_command as encode_change
from sassafraswharf.configuration.validation import check_document
from sassafraswharf.configuration.validation import encode_document
from sassafraswharf.consensus.voters import VoterChange
from sassafraswharf.consensus.voters import VoterChangeKind
from sassafraswharf.control import admin_views
from sassafraswharf.control.admin_requests import read_actor
from sassafraswharf.control.admin_requests import read_json
from sassafraswharf.control.admin_responses import HTTP_STATUS
from sassafraswharf.control.admin_responses import change_response
from sassafraswharf.control.admin_responses import error_response
from sassafraswharf.control.admin_responses import not_leader_failure
from sassafraswharf.control.control_part import CONFIGURATION_GROUP
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ReplicaId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.membership.values import UpstreamState


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from result import Result

    from sassafraswharf.cell.commands import Command
    from sassafraswharf.control.cell_replica import CellReplica
    from sassafraswharf.control.control_part import ControlPart

    Handler = Callable[[web.Request], Awaitable[web.Response]]
    Body = dict[str, object]


PROPOSAL_TIMEOUT_S: Final = 3.0
DEFAULT_AUDIT_LIMIT: Final = 100
MAX_AUDIT_LIMIT: Final = 1_000
UPSTREAM_COMMANDS: Final[dict[str, Callable[[UpstreamId, str, float], Command]]] = {
    "admit": AdmitUpstream,
    "drain": DrainUpstream,
    "remove": RemoveUpstream,
}
VOTER_ACTIONS: Final = {
    "add": VoterChangeKind.ADD_VOTER,
    "remove": VoterChangeKind.REMOVE,
}


class AdminApi:
    """HTTP handlers on the admin port of a control host."""

    def __init__(self, control: ControlPart, operator_key: bytes) -> None:
        """Serve ``control``; requests that change state must carry ``operator_key``."""
        self.control = control
        self.operator_key = operator_key

    def add_routes(self, application: web.Application) -> None:
        """Register all endpoints."""
        reads: dict[str, Handler] = {
            "/v1/configuration": self.get_configuration,
            "/v1/status": self.get_status,
            "/v1/owners": self.get_owners,
            "/v1/upstreams": self.get_upstreams,
            "/v1/audit": self.get_audit,
            "/v1/suspects": self.get_suspects,
            "/v1/explain": self.get_explain,
            "/v1/voters": self.get_voters,
        }
        changes: dict[str, Handler] = {
            "/v1/configuration": self.post_configuration,
            "/v1/upstreams/{id}/{action:admit|drain|remove}": self.post_upstream,
            "/v1/suspects/{digest}/release": self.post_release,
            "/v1/journal/release": self.post_journal_release,
            "/v1/voters": self.post_voters,
        }
        for path, handler in reads.items():
            application.router.add_get(path, handler)
        for path, handler in changes.items():
            application.router.add_post(path, self.require_operator_key(handler))

    def require_operator_key(self, handler: Handler) -> Handler:
        """Return a handler that first checks the operator key."""
        expected = b"Bearer " + self.operator_key

        async def checked(request: web.Request) -> web.Response:
            given = request.headers.get("Authorization", "")
            if not hmac.compare_digest(
                given.encode("utf-8", "surrogateescape"), expected
            ):
                return error_response(
                    Failure(
                        ResultCode.OPERATOR_UNAUTHENTICATED,
                        "the operator key is missing or wrong",
                    )
                )
            return await handler(request)

        return checked

    async def post_configuration(self, request: web.Request) -> web.Response:
        """Submit a change of the configuration."""
        change = await self.read_change(request)
        if isinstance(change, Err):
            return error_response(change.err_value)
        group = self.control.groups[CONFIGURATION_GROUP]
        reply = await group.propose(encode_change(change.ok_value), PROPOSAL_TIMEOUT_S)
        if isinstance(reply, Err):
            return self.group_error_response(CONFIGURATION_GROUP, reply.err_value)
        decoded = decode_change_reply(reply.ok_value)
        if isinstance(decoded, Err):
            return error_response(decoded.err_value)
        return change_response(decoded.ok_value)

    async def read_change(self, request: web.Request) -> Result[ApplyChange, Failure]:
        """Return the validated change in the body of a request."""
        body = await read_json(request)
        if isinstance(body, Err):
            return body
        document = check_document(body.ok_value.get("document"))
        if isinstance(document, Err):
            return document
        try:
            change = ApplyChange(
                msgspec.convert(body.ok_value.get("change_id"), str),
                msgspec.convert(body.ok_value.get("base_revision"), int),
                encode_document(document.ok_value),
                msgspec.convert(body.ok_value.get("author"), str),
                time.time(),
            )
        except msgspec.ValidationError as error:
            return Err(Failure(ResultCode.BAD_REQUEST, str(error)))
        return check_change(change)

    async def get_configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force, or an older revision that is held.

        Only the leader answers: another replica may lack the newest revision.
        """
        if not self.control.groups[CONFIGURATION_GROUP].is_current_leader():
            return self.group_error_response(CONFIGURATION_GROUP, not_leader_failure())
        history = self.control.configuration.history
        text = request.query.get("revision")
        if text is None:
            return web.json_response(admin_views.revision(history.newest))
        if not text.isdecimal():
            return error_response(
                Failure(ResultCode.BAD_REQUEST, "revision is not a number")
            )
        if int(text) == 0:
            return web.json_response(admin_views.revision(None))
        record = history.find(int(text))
        if record is None:
            failure = Failure(
                ResultCode.CONFIGURATION_UNAVAILABLE, f"revision {text} is not held"
            )
            return error_response(failure, status=404)
        return web.json_response(admin_views.revision(record))

    async def get_status(self, _request: web.Request) -> web.Response:
        """Return the leaders, the configuration revision and the hosts."""
        return web.json_response(admin_views.status(self.control))

    async def get_owners(self, request: web.Request) -> web.Response:
        """Return the owners of all slots, or of one service."""
        return self.cell_view_response(
            request, lambda cell: admin_views.owners(cell, request.query.get("service"))
        )

    async def get_upstreams(self, request: web.Request) -> web.Response:
        """Return all upstreams of the cell."""
        return self.cell_view_response(request, admin_views.upstreams)

    async def get_suspects(self, request: web.Request) -> web.Response:
        """Return requests that are suspected or convicted of crashes."""
        return self.cell_view_response(
            request, lambda cell: admin_views.suspects(cell, time.time())
        )

    async def get_explain(self, request: web.Request) -> web.Response:
        """Return who owns a key, since when and why."""
        service = request.query.get("service", "")
        key = request.query.get("key", "")
        cell = self.find_cell(request)
        if isinstance(cell, Err):
            return error_response(cell.err_value)
        if service not in cell.ok_value.state.tables:
            failure = Failure(ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
            return error_response(failure)
        return self.cell_view_response(
            request, lambda cell: admin_views.explain(cell, service, key)
        )

    async def get_audit(self, request: web.Request) -> web.Response:
        """Return the newest entries of the audit trail of a group."""
        text = request.query.get("limit", str(DEFAULT_AUDIT_LIMIT))
        group = GroupId(request.query.get("group", CONFIGURATION_GROUP))
        if not text.isdecimal() or not 1 <= int(text) <= MAX_AUDIT_LIMIT:
            message = f"limit must be from 1 to {MAX_AUDIT_LIMIT}"
            return error_response(Failure(ResultCode.BAD_REQUEST, message))
        if group not in self.control.groups:
            return error_response(
                Failure(ResultCode.BAD_REQUEST, f"no group {group!r}")
            )
        if not self.control.groups[group].is_current_leader():
            return self.group_error_response(group, not_leader_failure())
        return web.json_response(admin_views.audit(self.control, group, int(text)))

    async def get_voters(self, request: web.Request) -> web.Response:
        """Return the members of all groups, or of one."""
        return web.json_response(
            admin_views.voters(self.control, request.query.get("group"))
        )

    async def post_voters(self, request: web.Request) -> web.Response:
        """Add or remove a voter of a group."""
        group = GroupId(request.query.get("group", CONFIGURATION_GROUP))
        body = await read_json(request)
        if isinstance(body, Err):
            return error_response(body.err_value)
        kind = VOTER_ACTIONS.get(str(body.ok_value.get("action")))
        replica = body.ok_value.get("replica")
        if kind is None or not isinstance(replica, str):
            message = "action must be add or remove, and replica a name"
            return error_response(Failure(ResultCode.BAD_REQUEST, message))
        if group not in self.control.groups:
            return error_response(
                Failure(ResultCode.BAD_REQUEST, f"no group {group!r}")
            )
        changed = await self.control.groups[group].change_voters(
            VoterChange(kind, ReplicaId(replica)), PROPOSAL_TIMEOUT_S
        )
        if isinstance(changed, Err):
            return self.group_error_response(group, changed.err_value)
        return web.json_response(
            {
                "code": 0,
                "message": f"{body.ok_value['action']} {replica}: committed",
                "group": group,
                "voters": list(changed.ok_value.voters),
            }
        )

    async def post_upstream(self, request: web.Request) -> web.Response:
        """Admit, drain or remove an upstream."""
        upstream = UpstreamId(request.match_info["id"])
        command = UPSTREAM_COMMANDS[request.match_info["action"]]
        actor = await read_actor(request)
        if isinstance(actor, Err):
            return error_response(actor.err_value)
        found = self.find_cell(request)
        if isinstance(found, Err):
            return error_response(found.err_value)
        cell = found.ok_value
        failure = await commit_command(
            cell, command(upstream, actor.ok_value, time.time())
        )
        if failure is not None:
            return self.group_error_response(cell.name, failure)
        known = cell.state.upstreams.get(upstream)
        state = (UpstreamState.GONE if known is None else known.state).name.lower()
        message = f"{upstream} is {state}"
        return web.json_response(
            {"code": 0, "message": message, "upstream": upstream, "state": state}
        )

    async def post_release(self, request: web.Request) -> web.Response:
        """Release a convicted request."""
        text = request.match_info["digest"]
        actor = await read_actor(request)
        if isinstance(actor, Err):
            return error_response(actor.err_value)
        try:
            digest = bytes.fromhex(text)
        except ValueError:
            return error_response(
                Failure(ResultCode.BAD_REQUEST, f"{text!r} is no digest")
            )
        command = ReleaseSuspect(digest, actor.ok_value, time.time())
        cell = self.find_cell(request)
        if isinstance(cell, Err):
            return error_response(cell.err_value)
        failure = await commit_command(cell.ok_value, command)
        if failure is not None:
            return self.group_error_response(cell.ok_value.name, failure)
        return web.json_response({"code": 0, "message": "released", "digest": text})

    async def post_journal_release(self, request: web.Request) -> web.Response:
        """Abandon the journal records of a service that can no longer be read."""
        service = request.query.get("service", "")
        actor = await read_actor(request)
        if isinstance(actor, Err):
            return error_response(actor.err_value)
        cell = self.find_cell(request)
        if isinstance(cell, Err):
            return error_response(cell.err_value)
        command = ReleaseJournal(ServiceName(service), actor.ok_value, time.time())
        failure = await commit_command(cell.ok_value, command)
        if failure is not None:
            return self.group_error_response(cell.ok_value.name, failure)
        return web.json_response({"code": 0, "message": "released", "service": service})

    def find_cell(self, request: web.Request) -> Result[CellReplica, Failure]:
        """Return the cell named in a request, by default this host's own cell."""
        name = request.query.get("cell", self.control.settings["cell"])
        cell = self.control.cells.get(GroupId(name))
        if cell is None:
            message = f"this control host does not run the cell {name!r}"
            return Err(Failure(ResultCode.BAD_REQUEST, message))
        return Ok(cell)

    def cell_view_response(
        self, request: web.Request, view: Callable[[CellReplica], Body]
    ) -> web.Response:
        """Return a view of a cell; only the current leader of the cell answers."""
        cell = self.find_cell(request)
        if isinstance(cell, Err):
            return error_response(cell.err_value)
        if not cell.ok_value.group.is_current_leader():
            return self.group_error_response(cell.ok_value.name, not_leader_failure())
        return web.json_response(view(cell.ok_value))

    def group_error_response(self, group: GroupId, failure: Failure) -> web.Response:
        """Return an error; NOT_LEADER includes the admin address of the leader."""
        if failure.code != ResultCode.NOT_LEADER:
            return error_response(failure)
        leader = self.control.groups[group].leader
        return web.json_response(
            {
                "code": int(failure.code),
                "message": failure.message,
                "leader": admin_views.admin_address(self.control, leader),
            },
            status=HTTP_STATUS[ResultCode.NOT_LEADER],
        )


async def commit_command(cell: CellReplica, command: Command) -> Failure | None:
    """Commit an operator's command to the log of the cell."""
    reply = await cell.group.propose(encode_command(command), PROPOSAL_TIMEOUT_S)
    if isinstance(reply, Err):
        return reply.err_value
    decoded = decode_reply(reply.ok_value)
    if isinstance(decoded, Err):
        return decoded.err_value
    if decoded.ok_value.code:
        code = ResultCode(decoded.ok_value.code)
        return Failure(code, decoded.ok_value.message)
    return None
