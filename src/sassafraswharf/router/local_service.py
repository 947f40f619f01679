"""Serves requests from the upstreams beside this router."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import HostId
from sassafraswharf.quarantine.local_watch import Treatment
from sassafraswharf.requests.outcome import OutcomeKind
from sassafraswharf.router.answers import refusal
from sassafraswharf.router.upstream_runner import Permit
from sassafraswharf.router.upstream_runner import RunResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.clock import Clock
    from sassafraswharf.identifiers import UpstreamId
    from sassafraswharf.leases.holder import LeaseHolder
    from sassafraswharf.ownership.values import Ownership
    from sassafraswharf.router.crash_watch import CrashWatch
    from sassafraswharf.router.incoming import Incoming
    from sassafraswharf.router.incoming import RequestIds
    from sassafraswharf.router.journal_task import BeforeDispatch
    from sassafraswharf.router.journal_task import JournalTask
    from sassafraswharf.router.upstream_runner import UpstreamRunner
    from sassafraswharf.router.view import RouterView


SOLO_RETRY_S: Final = 1.0
NO_SLOT: Final = -1
"""The slot of a request that any upstream of its service may run."""


class LocalService:
    """Checks that this router may serve a request, and runs it.

    The order of the checks is lease, slot, quarantine, journal, admission; the
    lease and the slot are checked again right before the request is sent.
    """

    def __init__(
        self,
        host: str,
        public_address: str,
        view: RouterView,
        holder: LeaseHolder,
        clock: Clock,
        ids: RequestIds,
        journal: JournalTask,
        crashes: CrashWatch,
        request_refresh: Callable[[], None],
    ) -> None:
        """Start without upstreams."""
        self.host = HostId(host)
        self.public_address = public_address
        self.view = view
        self.holder = holder
        self.clock = clock
        self.ids = ids
        self.journal = journal
        self.crashes = crashes
        self.request_refresh = request_refresh
        self.runners: dict[UpstreamId, UpstreamRunner] = {}
        self.granted: dict[UpstreamId, int] = {}
        self.stopping = False

    async def serve(
        self, request: Incoming, upstream: UpstreamId, ownership: Ownership | None
    ) -> RunResult:
        """Run a request on an upstream of this host, or refuse it.

        ``ownership`` is ``None`` for a request of a service without a key,
        which any upstream may run.
        """
        runner = self.runners.get(upstream)
        failure = self.reason_to_refuse(runner, ownership)
        if failure is not None or runner is None:
            return refused(failure or not_owner(upstream))
        treatment = self.crashes.treatment(request.digest)
        if treatment is Treatment.REFUSED:
            return refused(quarantined(request.digest))
        solo = request.solo or treatment is Treatment.ALONE
        if not request.is_journaled or ownership is None:
            return await self.run(runner, request, ownership, solo=solo)

        async def run(before_dispatch: BeforeDispatch) -> RunResult:
            return await self.run(
                runner, request, ownership, before_dispatch, solo=solo
            )

        return await self.journal.serve(request, ownership, run)

    async def run(
        self,
        runner: UpstreamRunner,
        request: Incoming,
        ownership: Ownership | None,
        before_dispatch: BeforeDispatch | None = None,
        *,
        solo: bool,
    ) -> RunResult:
        """Run a request, a suspect only if no other router runs it."""
        permit = self.permit(runner.upstream.upstream, ownership)
        if solo:
            treatment = await self.crashes.no_solo(request.digest, request.deadline_at)
            if treatment is Treatment.REFUSED:
                return refused(quarantined(request.digest))
            solo = request.solo or treatment is Treatment.ALONE
        if not solo:
            return await runner.run(
                request, permit, solo=False, before_dispatch=before_dispatch
            )
        left_s = request.deadline_at - self.clock.now()
        digest = request.digest
        if not await self.crashes.reserve_solo(digest, self.holder.session, left_s):
            message = f"another request with digest {digest.hex()} is run alone"
            failure = Failure(ResultCode.SOLO_RESERVED, message)
            answer = refusal(failure, retry_after_s=SOLO_RETRY_S)
            return RunResult(answer, OutcomeKind.NOT_RUN)
        try:
            return await runner.run(
                request, permit, solo=True, before_dispatch=before_dispatch
            )
        finally:
            self.crashes.solo_ended(digest)

    def reason_to_refuse(
        self, runner: UpstreamRunner | None, ownership: Ownership | None
    ) -> Failure | None:
        """Return why no request may be served now, or ``None``."""
        if self.stopping:
            return Failure(ResultCode.SHUTTING_DOWN, f"{self.host} is shutting down")
        if not self.holder.is_valid(self.clock.now()):
            return Failure(ResultCode.LEASE_EXPIRED, f"{self.host} has no valid lease")
        if runner is None or runner.lost:
            return not_owner("the upstream")
        if ownership is None:
            return None
        if ownership.session != self.holder.session or ownership.closing:
            return not_owner(ownership.upstream or "nobody")
        name = runner.upstream.upstream
        if runner.upstream.checks_grants and ownership.epoch > self.granted.get(
            name, -1
        ):
            # The upstream would refuse the epoch until its grant has arrived.
            return not_owner(name)
        return None

    def permit(self, upstream: UpstreamId, ownership: Ownership | None) -> Permit:
        """Return the right to dispatch, to be checked again when it is used."""
        session = self.holder.session

        def is_valid() -> bool:
            valid = self.holder.is_valid(self.clock.now())
            runner = self.runners.get(upstream)
            if not valid or self.holder.session != session:
                return False
            if runner is None or runner.lost:
                return False
            return ownership is None or self.still_owns(upstream, ownership)

        return Permit(
            0 if ownership is None else ownership.epoch,
            NO_SLOT if ownership is None else ownership.slot,
            lambda: self.holder.expires_at,
            is_valid,
        )

    def still_owns(self, upstream: UpstreamId, ownership: Ownership) -> bool:
        """Return whether the slot has the owner and epoch of the permit."""
        service = self.view.upstreams[upstream].service
        current = self.view.tables[service].at(ownership.slot)
        return current.epoch == ownership.epoch and not current.closing


def not_owner(upstream: str) -> Failure:
    """Return the failure of a request that reached the wrong router."""
    return Failure(ResultCode.NOT_OWNER, f"{upstream} is not served by this router")


def quarantined(digest: bytes) -> Failure:
    """Return the failure of a request that crashed upstreams before."""
    return Failure(
        ResultCode.QUARANTINED, f"this request crashed upstreams; digest {digest.hex()}"
    )


def refused(failure: Failure) -> RunResult:
    """Return the result of a request that was not sent."""
    return RunResult(refusal(failure), OutcomeKind.NOT_RUN)
