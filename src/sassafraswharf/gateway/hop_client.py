"""Forwards requests to the router on the host of their upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from aiohttp import ClientPayloadError
from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.exceptions import ExchangeError
from sassafraswharf.gateway.connection_pool import ConnectionPool
from sassafraswharf.gateway.hop_codec import HOP
from sassafraswharf.gateway.hop_codec import OUTCOME
from sassafraswharf.gateway.hop_codec import decode_outcome
from sassafraswharf.gateway.hop_codec import encode_hop
from sassafraswharf.gateway.message_text import read_body
from sassafraswharf.gateway.message_text import response_headers
from sassafraswharf.gateway.responses import CALLER_ERROR_CODES
from sassafraswharf.gateway.streamed_answer import StreamedAnswer
from sassafraswharf.gateway.work import Answer
from sassafraswharf.gateway.work import Rejection
from sassafraswharf.observability.traffic import Traffic


if TYPE_CHECKING:
    from sassafraswharf.clock import Clock
    from sassafraswharf.fleet.values import Upstream
    from sassafraswharf.gateway.http_connection import HttpConnection
    from sassafraswharf.gateway.local_upstream import Outcome
    from sassafraswharf.gateway.upstream_choice import UpstreamChooser
    from sassafraswharf.gateway.work import Work


CONNECT_TIMEOUT_S: Final = 0.25


class HopClient:
    """Pools of persistent connections to the routers of other hosts."""

    def __init__(self, port: int, choice: UpstreamChooser, clock: Clock) -> None:
        """Connect to ``port`` of each router; report load hints to ``choice``."""
        self.port = port
        self.choice = choice
        self.clock = clock
        self.traffic = Traffic(choice.zone)
        self.pools: dict[str, ConnectionPool] = {}

    def keep_only(self, routers: set[str]) -> None:
        """Close connections to routers that are not in ``routers``."""
        for gone in self.pools.keys() - routers:
            self.pools.pop(gone).close()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(set())

    async def run(self, work: Work, upstream: Upstream) -> Outcome:
        """Forward a request to the router of an upstream and return its outcome."""
        pool = self.pools.get(upstream.router)
        if pool is None:
            address = (upstream.router, self.port)
            flow = self.traffic.flow("hop", upstream.zone)
            pool = ConnectionPool(address, self.clock, flow=flow)
            self.pools[upstream.router] = pool
        try:
            connection = await pool.acquire(CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            message = f"router {upstream.host} is unreachable: {error}"
            return Err(Rejection(ResultCode.NO_UPSTREAM, message, True))
        try:
            return await self.exchange(pool, connection, work, upstream)
        except ExchangeError as error:
            message = f"router {upstream.host}: {error.reason}"
            code = ResultCode.OUTCOME_UNKNOWN
            return Err(Rejection(code, message, not error.sent, error.sent))
        except ClientPayloadError:
            message = f"router {upstream.host}: the answer was cut short"
            return Err(Rejection(ResultCode.ANSWER_INCOMPLETE, message, False, True))
        finally:
            if not connection.is_idle and not connection.owned_by_response:
                connection.abort()

    async def exchange(
        self,
        pool: ConnectionPool,
        connection: HttpConnection,
        work: Work,
        upstream: Upstream,
    ) -> Outcome:
        """Send a request on a connection to another router and return its outcome."""
        hop = encode_hop(work, upstream.instance, self.clock.now())
        response = await connection.run(work, (*work.headers, (HOP, hop)))
        outcome = decode_outcome(response.headers.get(OUTCOME, ""))
        if outcome is None:
            message = f"router {upstream.host}: an answer without its outcome"
            return Err(Rejection(ResultCode.OUTCOME_UNKNOWN, message, False, True))
        rejection, hint = outcome
        self.choice.on_hint(upstream.instance, hint, self.clock.now())
        body, rest = await read_body(response.content)
        headers = response_headers(response)
        if rest is not None:
            streamed = StreamedAnswer(connection, rest)
            return Ok(Answer(response.status, headers, body, streamed))
        pool.release(connection)
        if rejection is not None:
            return Err(self.as_upstream_failure(rejection))
        return Ok(Answer(response.status, headers, body))

    def as_upstream_failure(self, rejection: Rejection) -> Rejection:
        """Return a rejection with a code that doesn't blame the caller.

        This router has validated the request. If another router finds it invalid,
        the cause is that router, which may have no upstream or run another release.
        """
        if rejection.code not in CALLER_ERROR_CODES:
            return rejection
        code = (
            ResultCode.NO_UPSTREAM if rejection.not_run else ResultCode.OUTCOME_UNKNOWN
        )
        return rejection._replace(code=code)
