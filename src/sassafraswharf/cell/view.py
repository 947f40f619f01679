"""A router's copy of the part of the cell's state that it needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.ownership.slot_table import SlotTable


if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from sassafraswharf.cell.delta import CellDelta
    from sassafraswharf.identifiers import ServiceName
    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.membership.values import Session
    from sassafraswharf.membership.values import Upstream
    from sassafraswharf.quarantine.suspect_table import Conviction


class CellView:
    """Tables, upstreams, sessions and convictions as of one version.

    A delta is applied as a whole, so that owners and incarnations always
    belong to the same version.
    """

    def __init__(self) -> None:
        self.version = 0
        self.tables: dict[ServiceName, SlotTable] = {}
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.sessions: dict[SessionId, Session] = {}
        self.convictions: dict[bytes, Conviction] = {}
        self.suspects: frozenset[bytes] = frozenset()

    def apply(self, delta: CellDelta) -> Result[None, Failure]:
        """Apply a delta; one that starts after this version is a gap (4005).

        A delta that ends at or before this version changes nothing.
        """
        if delta.from_version > self.version:
            message = f"delta from {delta.from_version}, view at {self.version}"
            return Err(Failure(ResultCode.STALE_TABLE_VERSION, message))
        if delta.to_version <= self.version:
            return Ok(None)
        for part in delta.tables:
            table = self.tables.get(part.service)
            if table is None:
                table = SlotTable(part.service, part.slot_count)
                table.version = part.from_version
            applied = table.apply(part)
            if applied.is_err():
                return applied
            self.tables[part.service] = table
        if delta.upstreams is not None:
            self.upstreams = {value.upstream: value for value in delta.upstreams}
        if delta.sessions is not None:
            self.sessions = {value.session: value for value in delta.sessions}
        if delta.convictions is not None:
            self.convictions = {value.digest: value for value in delta.convictions}
        if delta.suspects is not None:
            self.suspects = frozenset(delta.suspects)
        self.version = delta.to_version
        return Ok(None)

    def may_serve(
        self,
        service: ServiceName,
        slot: int,
        session: SessionId,
        running: Mapping[UpstreamId, int],
    ) -> bool:
        """Return whether this view lets the session accept work for the slot.

        ``running`` are the incarnations of the host's own upstreams. An
        upstream that was reported lost serves nothing until the view contains
        its new incarnation, because its slots may have been reassigned in
        between. The caller also checks its lease.
        """
        table = self.tables.get(service)
        if table is None:
            return False
        holding = table.holding(slot)
        if holding.upstream is None or holding.session != session or holding.closing:
            return False
        upstream = self.upstreams.get(holding.upstream)
        return (
            upstream is not None
            and upstream.state == UpstreamState.ADMITTED
            and upstream.incarnation == running.get(holding.upstream)
        )
