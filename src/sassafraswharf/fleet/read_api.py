"""Read-only API of the leader, used by the command line tool."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import msgspec

from aiohttp import web
from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.fleet.values import KEY_COUNT


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sassafraswharf.fleet.control_view import ControlView
    from sassafraswharf.fleet.coordinator import RouterSession
    from sassafraswharf.fleet.values import Upstream

    Json = dict[str, object]
    Query = Mapping[str, str]


PREFIX: Final = "/v1/"
GROUP_NAME: Final = "fleet"
OK_STATUS: Final = 200
DEFAULT_AUDIT_ENTRIES: Final = 100
CONTROL_LIVENESS_TIMEOUT_S: Final = 1.0
"""A member without messages to the leader for this long is not shown as live."""
STATUS_OF: Final = {
    ResultCode.NOT_LEADER: 421,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.BAD_REQUEST: 400,
}


class ReadApi:
    """Serves ``status``, ``upstreams``, ``explain`` and ``audit`` of the tool.

    Only the leader receives the reports of routers, so the other control hosts
    refuse and return its address. Nothing here changes the fleet.
    """

    def __init__(self, control: ControlView, port: int) -> None:
        """Serve a control host; all of them listen on the same ``port``."""
        self.control = control
        self.port = port
        self.views: dict[str, Callable[[Query], Result[Json, Failure]]] = {
            "status": self.status,
            "upstreams": self.upstreams,
            "explain": self.explain,
            "audit": self.audit,
        }

    def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to a read request; unknown query fields are ignored."""
        view = self.views.get(request.path.removeprefix(PREFIX))
        if view is None:
            message = f"{request.path} is not a read"
            return refuse(Failure(ResultCode.BAD_REQUEST, message))
        if not self.control.leads:
            message = "this control host does not lead the fleet"
            return refuse(Failure(ResultCode.NOT_LEADER, message), leader=self.leader)
        answer = view(request.query)
        if isinstance(answer, Err):
            return refuse(answer.err_value)
        return json_response(OK_STATUS, answer.ok_value)

    @property
    def leader(self) -> str | None:
        """The address at which the leader listens, ``None`` if it is unknown."""
        address = self.control.leader_address
        return f"{address}:{self.port}" if address else None

    def status(self, _query: Query) -> Result[Json, Failure]:
        """Return the leader, the versions in force and all hosts."""
        state = self.control.state
        now = self.control.clock.now()
        sessions = self.control.coordinator.sessions.values()
        controls = [self.control_host(one) for one in self.control.control_addresses]
        routers = [self.router_host(one, now) for one in sessions]
        return Ok(
            {
                "deployment": GROUP_NAME,
                "revision": state.plan.version,
                "configuration_leader": self.leader,
                "cells": [
                    {
                        "cell": GROUP_NAME,
                        "leader": self.leader,
                        "table_version": state.fleet.version,
                    }
                ],
                "hosts": controls + routers,
                "suspects": len(self.control.coordinator.crash_table.crashed_instances),
            }
        )

    def control_host(self, address: str) -> Json:
        """Return a member of the control group, identified by its address."""
        is_self = address == self.control.node.address
        heard_at = self.control.heard_at.get(address)
        age_s = None if heard_at is None else self.control.clock.now() - heard_at
        is_live = is_self or (age_s is not None and age_s < CONTROL_LIVENESS_TIMEOUT_S)
        return {
            "host": self.control.node.host if is_self else address,
            "cell": GROUP_NAME,
            "zone": self.control.node.zone if is_self else None,
            "parts": ["control"],
            "live": is_live,
            "revision": self.control.state.plan.version if is_self else None,
        }

    def router_host(self, session: RouterSession, now: float) -> Json:
        """Return the host of a router, as of its last report."""
        request = session.request
        timing = self.control.coordinator.timing
        left_s = max(0.0, timing.lease_s - (now - session.heard_at))
        return {
            "host": request.host,
            "cell": GROUP_NAME,
            "zone": request.zone,
            "parts": ["router"],
            "live": left_s > 0,
            "session": request.boot,
            "revision": request.plan_version,
            "table_version": request.fleet_version,
            "lease_remaining_s": round(left_s, 2),
            "upstreams": 0 if request.upstream is None else 1,
        }

    def upstreams(self, _query: Query) -> Result[Json, Failure]:
        """Return the upstreams with the number of keys and the utilisation of each."""
        fleet = self.control.state.fleet
        return Ok(
            {
                "version": fleet.version,
                "upstreams": [self.upstream(one) for one in fleet.upstreams.values()],
            }
        )

    def upstream(self, upstream: Upstream) -> Json:
        """Return one upstream."""
        rows = self.control.state.fleet.rows_of(upstream.instance)
        busy = self.control.coordinator.utilisation_by_service.get(upstream.service, {})
        return {
            "upstream": upstream.instance.name,
            "service": upstream.service,
            "state": state_of(upstream),
            "host": upstream.host,
            "zone": upstream.zone,
            "address": upstream.router,
            "slots": upstream.slots,
            "owned_keys": sum(row.last - row.first + 1 for row in rows),
            "busy": busy.get(upstream.instance.name),
        }

    def explain(self, query: Query) -> Result[Json, Failure]:
        """Return the owner of a key, and the target of its move.

        It fails for an unknown service and for an invalid key.
        """
        service, text = query.get("service", ""), query.get("key", "")
        fleet = self.control.state.fleet
        if service not in fleet.rows:
            message = f"{service!r} is not a service with keys"
            return Err(Failure(ResultCode.UNKNOWN_SERVICE, message))
        if not text.isdecimal() or int(text) >= KEY_COUNT:
            message = f"key {text!r} is not a number from 0 to {KEY_COUNT - 1}"
            return Err(Failure(ResultCode.BAD_REQUEST, message))
        row = fleet.row_of(service, int(text))
        if row is None:
            message = f"{service!r} has no owners yet"
            return Err(Failure(ResultCode.UNKNOWN_SERVICE, message))
        owner = fleet.upstreams.get(row.owner)
        return Ok(
            {
                "service": service,
                "key": int(text),
                "upstream": row.owner.name or None,
                "host": owner.host if owner else None,
                "zone": owner.zone if owner else None,
                "state": state_of(owner) if owner else "unassigned",
                "first_key": row.first,
                "last_key": row.last,
                "fence": row.fence,
                "moves_to": row.target.name or None,
                "table_version": fleet.version,
            }
        )

    def audit(self, query: Query) -> Result[Json, Failure]:
        """Return the latest changes of the configuration with their results."""
        text = query.get("limit", str(DEFAULT_AUDIT_ENTRIES))
        if not text.isdecimal() or not int(text):
            message = f"limit {text!r} is not a number above 0"
            return Err(Failure(ResultCode.BAD_REQUEST, message))
        trail = self.control.state.audit
        entries = list(trail)[-int(text) :]
        return Ok(
            {
                "entries": [
                    {
                        "at": entry.at,
                        "actor": entry.actor,
                        "action": "change",
                        "subject": f"{entry.base_version} -> {entry.version}",
                        "revision": entry.version,
                        "code": entry.code,
                        "detail": entry.message,
                    }
                    for entry in entries
                ],
            }
        )


def state_of(upstream: Upstream) -> str:
    """Return the state of an upstream in one word."""
    if upstream.draining:
        return "draining"
    return "restarting" if upstream.restarting else "admitted"


def refuse(failure: Failure, *, leader: str | None = None) -> web.Response:
    """Return an error response with its code and, if known, the leader."""
    code, message = failure.code, failure.message
    body: Json = {"code": int(code), "message": message, "leader": leader}
    return json_response(STATUS_OF[code], body)


def json_response(status: int, body: Json) -> web.Response:
    """Return a response with a JSON body."""
    content = msgspec.json.encode(body)
    return web.Response(status=status, body=content, content_type="application/json")
