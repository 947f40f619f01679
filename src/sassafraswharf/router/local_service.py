"""Checks whether this router may serve a request, and runs it locally."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import HostId
from sassafraswharf.quarantine.local_quarantine import ExecutionMode
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.permit import Permit
from sassafraswharf.router.upstream_runner import RunResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.leases.holder import LeaseHolder
    from sassafraswharf.ownership.values import Ownership
    from sassafraswharf.router.crash_detector import CrashDetector
    from sassafraswharf.router.incoming import IncomingRequest
    from sassafraswharf.router.incoming import RequestIds
    from sassafraswharf.router.journal_coordinator import BeforeDispatch
    from sassafraswharf.router.journal_coordinator import JournalCoordinator
    from sassafraswharf.router.upstream_runner import UpstreamRunner
    from sassafraswharf.router.view import RouterView


SOLO_RETRY_AFTER_S: Final = 1.0


class LocalService:
    """Serves requests from the local upstreams.

    The order of the checks is lease, slot, quarantine, journal, admission. The lease
    and the slot are checked again immediately before the request is sent.
    """

    def __init__(
        self,
        host: str,
        public_address: str,
        view: RouterView,
        holder: LeaseHolder,
        clock: Clock,
        ids: RequestIds,
        journal_coordinator: JournalCoordinator,
        crash_detector: CrashDetector,
        request_refresh: Callable[[], None],
    ) -> None:
        """Start without upstreams."""
        self.host = HostId(host)
        self.public_address = public_address
        self.view = view
        self.holder = holder
        self.clock = clock
        self.ids = ids
        self.journal_coordinator = journal_coordinator
        self.crash_detector = crash_detector
        self.request_refresh = request_refresh
        self.runners: dict[UpstreamId, UpstreamRunner] = {}
        self.granted_versions: dict[UpstreamId, int] = {}
        self.stopping = False

    async def serve(
        self,
        request: IncomingRequest,
        upstream: UpstreamId,
        ownership: Ownership | None,
    ) -> RunResult:
        """Run a request on an upstream of this host, or refuse it.

        ``ownership`` is ``None`` for a request of a service without a key,
        which any upstream may run.
        """
        runner = self.runners.get(upstream)
        failure = self.refusal_reason()
        if failure is not None or runner is None:
            return refused_result(failure or not_owner_failure(upstream))
        permit = Permit(runner, ownership, self.holder, self.view, self.clock)
        if not permit.is_valid() or not self.is_granted(permit):
            return refused_result(not_owner_failure(upstream))
        treatment = self.crash_detector.execution_mode(request.digest)
        if treatment is ExecutionMode.REFUSED:
            return refused_result(quarantined_failure(request.digest))
        solo = request.solo or treatment is ExecutionMode.ALONE
        if not request.is_journaled or ownership is None:
            return await self.run(runner, request, permit, solo=solo)

        async def run(before_dispatch: BeforeDispatch) -> RunResult:
            return await self.run(runner, request, permit, before_dispatch, solo=solo)

        return await self.journal_coordinator.serve(request, ownership, run)

    async def run(
        self,
        runner: UpstreamRunner,
        request: IncomingRequest,
        permit: Permit,
        before_dispatch: BeforeDispatch | None = None,
        *,
        solo: bool,
    ) -> RunResult:
        """Run a request; a suspect runs only if no other router is running it."""
        if solo:
            treatment = await self.crash_detector.wait_for_solo_end(
                request.digest, request.deadline_at
            )
            if treatment is ExecutionMode.REFUSED:
                return refused_result(quarantined_failure(request.digest))
            solo = request.solo or treatment is ExecutionMode.ALONE
        if not solo:
            return await runner.run(
                request, permit, solo=False, before_dispatch=before_dispatch
            )
        left_s = request.deadline_at - self.clock.now()
        digest = request.digest
        if not await self.crash_detector.reserve_solo(digest, permit.session, left_s):
            message = f"another request with digest {digest.hex()} is run alone"
            failure = Failure(ResultCode.SOLO_RESERVED, message)
            answer = refusal(failure, retry_after_s=SOLO_RETRY_AFTER_S)
            return RunResult(answer, OutcomeKind.NOT_RUN)
        try:
            return await runner.run(
                request, permit, solo=True, before_dispatch=before_dispatch
            )
        finally:
            self.crash_detector.release_solo(digest)

    def refusal_reason(self) -> Failure | None:
        """Return why this router may serve nothing now, or ``None``."""
        if self.stopping:
            return Failure(ResultCode.SHUTTING_DOWN, f"{self.host} is shutting down")
        if not self.holder.is_valid(self.clock.now()):
            return Failure(ResultCode.LEASE_EXPIRED, f"{self.host} has no valid lease")
        return None

    def is_granted(self, permit: Permit) -> bool:
        """Return whether the upstream has received the epoch of the permit.

        An upstream that checks grants refuses an epoch until its grant has arrived.
        """
        upstream = permit.runner.upstream
        if not upstream.checks_grants:
            return True
        return permit.epoch <= self.granted_versions.get(upstream.upstream, -1)


def not_owner_failure(upstream: str) -> Failure:
    """Return the failure for a request that reached the wrong router."""
    return Failure(ResultCode.NOT_OWNER, f"{upstream} is not served by this router")


def quarantined_failure(digest: bytes) -> Failure:
    """Return the failure for a request that has crashed upstreams."""
    return Failure(
        ResultCode.QUARANTINED, f"this request crashed upstreams; digest {digest.hex()}"
    )


def refused_result(failure: Failure) -> RunResult:
    """Return the result of a request that was not sent."""
    return RunResult(refusal(failure), OutcomeKind.NOT_RUN)
