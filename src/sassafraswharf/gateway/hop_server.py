"""Runs requests that other routers forward to the upstream of this host."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Final

from aiohttp import web
from result import Err

from sassafraswharf.codes import ResultCode
from sassafraswharf.gateway.hop_codec import HOP
from sassafraswharf.gateway.hop_codec import OUTCOME
from sassafraswharf.gateway.hop_codec import decode_hop
from sassafraswharf.gateway.hop_codec import encode_outcome
from sassafraswharf.gateway.message_text import digest_of_beginning
from sassafraswharf.gateway.message_text import encode_chunked
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.responses import NOT_RUN_STATUS
from sassafraswharf.gateway.responses import relay_answer
from sassafraswharf.gateway.work import LoadHint
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.gateway.work import Work
from sassafraswharf.router.headers import end_to_end


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.gateway.hop_codec import HopHeader
    from sassafraswharf.gateway.local_upstream import LocalUpstream
    from sassafraswharf.gateway.work import HeaderNames
    from sassafraswharf.observability.decision_log import DecisionLog


STOPPING: Final = Rejection(ResultCode.NO_UPSTREAM, "the router is stopping", True)
"""The code makes the other router try another upstream."""


class HopServer:
    """Handler of requests that other routers forward.

    Every answer carries the load of the upstream. During shutdown (``closing``)
    answers close their connections, so that the other routers go elsewhere. Those
    hold many idle connections, so requests arrive until the process exits; late
    ones are rejected (``refusing``), since their answers would be cut off.
    """

    def __init__(
        self,
        names: HeaderNames,
        local: LocalUpstream | None,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Run requests on ``local``."""
        self.names = names
        self.local = local
        self.clock = clock
        self.log = log
        self.closing = False
        self.refusing = False

    def on_malformed(self, reason: str) -> None:
        """Log a forwarded request that the HTTP parser rejected."""
        self.log.record("malformed", sender="router", why=reason)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one forwarded request."""
        now = self.clock.now()
        hop = decode_hop(request.headers.get(HOP, ""), now)
        local = self.local
        if hop is None or local is None:
            message = "not a forwarded request"
            return self.reject(Rejection(ResultCode.BAD_REQUEST, message, True))
        if self.refusing:
            return self.reject(STOPPING)
        work = await self.read(request, hop)
        if self.refusing:
            # Its body was read until now.
            return self.reject(STOPPING)
        try:
            async with asyncio.timeout(hop.terms.deadline_at - now):
                outcome = await local.run(work, hop.instance)
        except TimeoutError:
            message = "the deadline passed at the upstream"
            code = ResultCode.UPSTREAM_TIMEOUT
            return self.reject(Rejection(code, message, False, True))
        if isinstance(outcome, Err):
            rejection = outcome.err_value
            self.log.record(
                "rejected",
                request=work.request_id,
                service=work.service,
                key=work.key,
                code=int(rejection.code),
                why=rejection.message,
                not_run=rejection.not_run,
                running=local.queue.running,
                waiting=len(local.queue.waiting),
            )
            return self.reject(rejection)
        added = {OUTCOME: encode_outcome(None, local.hint())}
        left_s = hop.terms.deadline_at - self.clock.now()
        return await relay_answer(
            request, outcome.ok_value, added, left_s, close=self.closing
        )

    async def read(self, request: web.BaseRequest, hop: HopHeader) -> Work:
        """Read the body of a forwarded request and return the request."""
        body, rest = await read_body(request.content)
        return Work(
            request.headers.get(self.names.request_id, ""),
            request.method,
            request.raw_path,
            tuple(end_to_end(request.headers.items())),
            body if rest is None else b"",
            None if rest is None else encode_chunked(body, rest),
            hop.service,
            hop.origin,
            hop.key,
            hop.repeatable,
            hop.terms,
            digest_of_beginning(body) if rest is not None else b"",
        )

    def reject(self, rejection: Rejection) -> web.Response:
        """Return a rejection to another router."""
        hint = self.local.hint() if self.local else LoadHint(0, 0, 1, 0.0)
        headers = {OUTCOME: encode_outcome(rejection, hint)}
        response = web.Response(status=NOT_RUN_STATUS, headers=headers)
        if self.closing:
            response.force_close()
        return response
