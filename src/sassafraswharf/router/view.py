"""A router's local copy of the cell's tables and of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from sassafraswharf.cell.view import CellView
from sassafraswharf.configuration.revision_holder import RevisionHolder
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.membership.values import SessionState
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.requests.classification import compile_services
from sassafraswharf.requests.classification import services_in_call_cycles
from sassafraswharf.router.change_signal import ChangeSignal


if TYPE_CHECKING:
    from result import Result

    from sassafraswharf.cell.delta import CellDelta
    from sassafraswharf.configuration.documents import ServiceDocument
    from sassafraswharf.failure import Failure
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.requests.classification import RequestMatcher


class RouterView(CellView):
    """A copy of the cell's tables and of the configuration.

    The copy may be stale. The owner's router checks every request against its own
    copy and lease, so a stale copy elsewhere costs only a retry. Neither the table
    version nor the configuration revision ever decreases.
    """

    def __init__(self) -> None:
        super().__init__()
        self.configuration = RevisionHolder()
        self.matcher: RequestMatcher = compile_services([]).unwrap()
        self.services: dict[str, ServiceDocument] = {}
        self.retentions: dict[ServiceName, int] = {}
        self.cyclic_services: set[ServiceName] = set()
        self.available: dict[ServiceName, tuple[UpstreamId, ...]] = {}
        self.changed = ChangeSignal()

    @property
    def revision(self) -> int:
        """The configuration revision in force."""
        return self.configuration.revision

    def accept_configuration(
        self, revision: int, document: bytes
    ) -> Result[bool, Failure]:
        """Apply a newer configuration; an older or equal one is ignored."""
        accepted = self.configuration.accept(revision, document)
        in_force = self.configuration.document
        if isinstance(accepted, Err) or not accepted.ok_value or in_force is None:
            return accepted
        services = in_force["services"]
        matcher = compile_services(services)
        if isinstance(matcher, Err):
            return matcher
        self.matcher = matcher.ok_value
        self.services = {service["name"]: service for service in services}
        self.retentions = {
            ServiceName(service["name"]): service["retention_s"] for service in services
        }
        self.cyclic_services = services_in_call_cycles(services)
        self.changed.notify()
        return accepted

    def apply(self, delta: CellDelta) -> Result[None, Failure]:
        """Apply a delta and wake the tasks that wait for a change."""
        version = self.version
        applied = super().apply(delta)
        if self.version != version:
            self.available = self.find_available()
            self.changed.notify()
        return applied

    def find_available(self) -> dict[ServiceName, tuple[UpstreamId, ...]]:
        """Return the upstreams of each service that may get new work."""
        found: dict[ServiceName, list[UpstreamId]] = {}
        for upstream in self.upstreams.values():
            session = self.sessions.get(upstream.session)
            if (
                upstream.state == UpstreamState.ADMITTED
                and session is not None
                and session.state == SessionState.OPEN
            ):
                found.setdefault(upstream.service, []).append(upstream.upstream)
        return {service: tuple(names) for service, names in found.items()}
