"""Builds the JSON objects that the admin API returns."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

import msgspec

from sassafraswharf.consensus.voters import host_name
from sassafraswharf.control.control_part import CONFIGURATION_GROUP
from sassafraswharf.identifiers import GroupId
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.membership.values import SessionState


if TYPE_CHECKING:
    from sassafraswharf.configuration.history import RevisionRecord
    from sassafraswharf.consensus.group_task import GroupTask
    from sassafraswharf.consensus.progress import Progress
    from sassafraswharf.control.cell_replica import CellReplica
    from sassafraswharf.control.control_part import ControlPart
    from sassafraswharf.identifiers import ReplicaId
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.membership.values import Session
    from sassafraswharf.ownership.values import SlotRun

    Json = dict[str, object]


LIVENESS_TIMEOUT_S: Final = 3.0
"""A replica without contact for this long is not shown as live."""

OWNERSHIP_ENDING_COMMANDS: Final = frozenset(
    {"CloseSession", "CloseSessions", "CloseSlots", "DrainUpstream", "UpstreamLost"}
)
"""Commands that take slots from their owners."""


def admin_address(control: ControlPart, leader: ReplicaId | None) -> str | None:
    """Return the admin address of the host of a replica."""
    if leader is None:
        return None
    host = control.hosts.get(host_name(leader))
    return None if host is None else f"{host['address']}:{host['admin_port']}"


def revision(record: RevisionRecord | None) -> Json:
    """Return a configuration; revision 0 is the state before the first change."""
    if record is None:
        return {
            "revision": 0,
            "change_id": None,
            "author": None,
            "submitted_at": None,
            "document": None,
        }
    return {
        "revision": record.revision,
        "change_id": record.change_id,
        "author": record.author,
        "submitted_at": record.submitted_at,
        "document": msgspec.json.decode(record.document),
    }


def status(control: ControlPart) -> Json:
    """Return the leaders, the configuration revision and the hosts."""
    configuration = control.groups[CONFIGURATION_GROUP]
    return {
        "deployment": control.settings["deployment"],
        "host": control.settings["host"],
        "revision": control.configuration.revision,
        "configuration_leader": admin_address(control, configuration.leader),
        "cells": [
            {
                "cell": cell.name,
                "leader": admin_address(control, cell.group.leader),
                "table_version": cell.state.version,
            }
            for cell in control.cells.values()
        ],
        "hosts": hosts(control),
        "measures": measures(control),
    }


def measures(control: ControlPart) -> Json:
    """Return the totals from which the reported measures are computed."""
    totals = control.totals()
    return {
        "unavailable_slot_s": totals["unavailable_slot_s"],
        "closing_slot_s": totals["closing_slot_s"],
        "slots_moved": totals["slots_moved"],
        "slots_returned": totals["slots_returned"],
        "imbalance": control.imbalance(),
    }


def hosts(control: ControlPart) -> list[Json]:
    """Return this host, and all hosts of the cells that this host leads."""
    own_cell = control.cells.get(GroupId(control.settings["cell"]))
    own = {
        "host": control.settings["host"],
        "cell": control.settings["cell"],
        "zone": control.settings["zone"],
        "parts": ["control"],
        "live": True,
        "session": None,
        "revision": control.configuration.revision,
        "table_version": 0 if own_cell is None else own_cell.state.version,
        "lease_remaining_s": None,
        "upstreams": 0,
    }
    found: dict[str, Json] = {str(own["host"]): own}
    for cell in control.cells.values():
        if cell.group.is_current_leader():
            for session in cell.state.sessions.values():
                if session.state == SessionState.OPEN:
                    found[session.host] = router_host(control, cell, session)
    return list(found.values())


def router_host(control: ControlPart, cell: CellReplica, session: Session) -> Json:
    """Return a host that runs a router, as last reported in its lease renewals."""
    report = cell.lease_handler.reports.get(session.session)
    remaining_s = cell.lease_handler.lease_remaining_s(session.session)
    parts = ["router"]
    if session.host in control.hosts:
        parts.append("control")
    return {
        "host": session.host,
        "cell": cell.name,
        "zone": session.zone,
        "parts": parts,
        "live": bool(remaining_s),
        "session": session.session,
        "revision": 0 if report is None else report.configuration_revision,
        "table_version": 0 if report is None else report.table_version,
        "lease_remaining_s": remaining_s,
        "upstreams": sum(
            upstream.session == session.session
            for upstream in cell.state.upstreams.values()
        ),
    }


def session_host(cell: CellReplica, session: SessionId) -> str | None:
    """Return the host of a session, or None if the session is unknown."""
    known = cell.state.sessions.get(session)
    return None if known is None else known.host


def slot_run(cell: CellReplica, item: SlotRun) -> Json:
    """Return a range of consecutive slots with its owner."""
    return {
        "start": item.start,
        "length": item.length,
        "upstream": item.upstream,
        "host": None if item.upstream is None else session_host(cell, item.session),
        "session": item.session,
        "epoch": item.epoch,
        "closing": item.closing,
        "sources": list(item.sources),
    }


def owners(cell: CellReplica, service: str | None) -> Json:
    """Return the owners of all slots, or of one service."""
    tables = [
        table
        for name, table in cell.state.tables.items()
        if service is None or name == service
    ]
    return {
        "cell": cell.name,
        "version": cell.state.version,
        "services": [
            {
                "service": table.service,
                "slot_count": table.slot_count,
                "runs": [slot_run(cell, item) for item in table.runs()],
            }
            for table in tables
        ],
    }


def upstreams(cell: CellReplica) -> Json:
    """Return all upstreams of the cell."""
    owned: Counter[str] = Counter()
    for table in cell.state.tables.values():
        for holding, slots in table.holdings():
            if holding.upstream is not None:
                owned[holding.upstream] += slots
    rows = []
    for item in cell.state.upstreams.values():
        session = cell.state.sessions.get(item.session)
        rows.append(
            {
                "upstream": item.upstream,
                "host": item.host,
                "zone": None if session is None else session.zone,
                "service": item.service,
                "address": item.address,
                "state": item.state.name.lower(),
                "slots": item.slots,
                "connections": item.connections,
                "checks_grants": item.checks_grants,
                "speed": item.speed,
                "incarnation": item.incarnation,
                "owned_slots": owned[item.upstream],
            }
        )
    return {"cell": cell.name, "upstreams": rows}


def suspects(cell: CellReplica, now: float) -> Json:
    """Return requests that are suspected or convicted; ``now`` is Unix time."""
    rows = []
    for item in cell.state.suspects.suspects.values():
        convicted = item.convicted_until > 0
        rows.append(
            {
                "digest": item.digest.hex(),
                "state": "convicted" if convicted else "suspect",
                "crashes": item.crashes,
                "expires_in_s": max(0.0, item.convicted_until - now)
                if convicted
                else None,
            }
        )
    return {"cell": cell.name, "suspects": rows}


def explain(cell: CellReplica, service: str, key: str) -> Json:
    """Return who owns a key, since when and why."""
    table = cell.state.tables[ServiceName(service)]
    owner = table.owner_of(key)
    upstream = cell.state.upstreams.get(owner.upstream) if owner.upstream else None
    live = owner.upstream is not None and bool(
        cell.lease_handler.lease_remaining_s(owner.session)
    )
    return {
        "service": service,
        "key": key,
        "slot": owner.slot,
        "version": cell.state.version,
        "upstream": owner.upstream,
        "host": None if owner.upstream is None else session_host(cell, owner.session),
        "address": None if upstream is None else upstream.address,
        "session": owner.session,
        "epoch": owner.epoch,
        "closing": owner.closing,
        "sources": list(owner.sources),
        "live": live,
        "reason": owner_reason(cell, owner.upstream, owner.slot, closing=owner.closing),
        **last_change(cell, owner.epoch),
    }


def owner_reason(
    cell: CellReplica, upstream: str | None, slot: int, *, closing: bool
) -> str:
    """Return one sentence that explains the owner of a slot."""
    if upstream is None:
        return f"nobody owns slot {slot}: no upstream of the service is available"
    if closing:
        return f"slot {slot} is being moved away from {upstream}"
    return f"{upstream} owns slot {slot} in {cell.name}"


def last_change(cell: CellReplica, epoch: int) -> Json:
    """Return when and how the current epoch began, if the audit trail still has it.

    The cost is the time from the command that took the slot from its previous
    owner to the one that assigned it to the current owner. It excludes the wait
    for a lease to expire, which comes before the first of these commands.
    """
    ended_at: float | None = None
    for entry in cell.state.audit_trail.entries:
        if entry.revision == epoch:
            cost_s = None if ended_at is None else max(0.0, entry.at - ended_at)
            return {
                "owned_since_at": entry.at,
                "last_change": f"{entry.action} {entry.subject}",
                "last_change_cost_s": cost_s,
            }
        if entry.action in OWNERSHIP_ENDING_COMMANDS:
            ended_at = entry.at
    return {"owned_since_at": None, "last_change": None, "last_change_cost_s": None}


def audit(control: ControlPart, group: GroupId, limit: int) -> Json:
    """Return the newest entries of the audit trail of a group, newest last."""
    if group == CONFIGURATION_GROUP:
        trail = control.configuration.audit
        rows = [
            {
                "index": entry.log_index,
                "at": entry.at,
                "actor": entry.actor,
                "action": entry.action,
                "subject": entry.subject,
                "detail": entry.detail,
                "revision": entry.revision,
                "code": int(entry.code),
            }
            for entry in trail.newest(limit)
        ]
        return {"group": group, "dropped": trail.dropped, "entries": rows}
    rows = [
        {
            "index": item.revision,
            "at": item.at,
            "actor": item.actor,
            "action": item.action,
            "subject": item.subject,
            "detail": "",
            "revision": item.revision,
            "code": item.code,
        }
        for item in reversed(control.cells[group].state.audit_trail.newest(limit))
    ]
    return {"group": group, "dropped": 0, "entries": rows}


def voters(control: ControlPart, wanted: str | None) -> Json:
    """Return the members of the groups of this host."""
    return {
        "groups": [
            group_members(name, group)
            for name, group in control.groups.items()
            if wanted is None or name == wanted
        ]
    }


def is_replica_live(
    group: GroupTask, progress: Progress | None, *, is_own: bool, now: float
) -> bool | None:
    """Return whether a replica is reachable, or None if it is unknown.

    Only the leader knows this of other replicas.
    """
    if is_own:
        return True
    if progress is None or not group.is_current_leader():
        return None
    return now - progress.contact_at < LIVENESS_TIMEOUT_S


def group_members(name: GroupId, group: GroupTask) -> Json:
    """Return the members of one group, as known to this replica."""
    replica = group.replica
    now = group.clock.now()
    rows = []
    for member in group.voters.members:
        progress = replica.progress.get(member) if replica is not None else None
        is_own = member == group.identity
        match_index = group.applied_index if is_own else None
        if progress is not None:
            match_index = progress.match_index
        rows.append(
            {
                "replica": member,
                "role": "voter" if member in group.voters.voters else "learner",
                "match_index": match_index,
                "live": is_replica_live(group, progress, is_own=is_own, now=now),
            }
        )
    return {
        "group": name,
        "leader": group.leader,
        "term": group.term,
        "commit_index": 0 if replica is None else replica.commit_index,
        "members": rows,
    }
