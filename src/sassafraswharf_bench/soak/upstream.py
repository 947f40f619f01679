"""An upstream that records its work and injects faults into its answers."""

from __future__ import annotations

import asyncio
import contextlib
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import aiohttp

from aiohttp import web

from sassafraswharf_bench.provider.endpoint import Endpoint
from sassafraswharf_bench.provider.endpoint import Run
from sassafraswharf_bench.soak.ledger import HoldPeriod
from sassafraswharf_bench.soak.ledger import Leave
from sassafraswharf_bench.soak.ledger import RunRecord
from sassafraswharf_bench.soak.link_proxy import LinkProxy


if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafraswharf_bench.provider.called_holds import CalledHolds
    from sassafraswharf_bench.provider.called_holds import Hold
    from sassafraswharf_bench.soak.ledger import Ledger


SLOTS: Final = 20
LISTEN_PORT_OFFSET: Final = 10
"""Offset from the announced port, where the link proxy listens."""
LEAVE_POLL_S: Final = 0.05
SILENCE_S: Final = 30.0
"""Longer than any caller waits."""
REPEAT_AFTER_S: Final = 0.05
INCOMPLETE_ANSWER_FAULTS: Final = frozenset({"lose", "cut", "silence"})
ANSWER_FAULT_INTERVAL: Final = 3
"""With an answer fault active, one in this many answers is affected."""


def answer_body(request_id: str, body: bytes) -> bytes:
    """Return the whole answer to a request; its length differs by request.

    >>> answer_body("a1", b"x")[:8]
    b'a1 x a1 '
    """
    filler = f"{request_id} ".encode() * (1 + sum(request_id.encode()) % 200)
    return request_id.encode() + b" " + body + b" " + filler


class Upstream(Endpoint):
    """A stand-in of one machine's upstream.

    ``answer_fault`` affects some answers: ``lose``, ``cut``, ``repeat_answer`` or
    ``silence``.
    """

    def __init__(
        self,
        host: str,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        *,
        keyed: bool,
        called: bool,
        ledger: Ledger,
    ) -> None:
        """Prepare a new instance."""
        super().__init__(
            service, address, control, keyed=keyed, slots=SLOTS, called=called
        )
        self.host = host
        self.ledger = ledger
        self.listen_address = (address[0], address[1] + LISTEN_PORT_OFFSET)
        self.link = LinkProxy(address, self.listen_address)
        self.answer_fault = ""
        self.ending = False
        self.served = 0
        self.open_periods: dict[tuple[int, int, int], HoldPeriod] = {}

    async def start(self) -> None:
        """Listen behind a link and announce."""
        await super().start()
        await self.link.start()

    async def heartbeat(self) -> bool:
        """Send one heartbeat and record an acknowledged leave."""
        says_draining = self.state == "draining"
        is_taken = await super().heartbeat()
        if says_draining and is_taken:
            self.record_leave()
        return is_taken

    async def deregister(self) -> bool:
        """Deregister."""
        is_acknowledged = await super().deregister()
        if is_acknowledged:
            self.record_leave()
        return is_acknowledged

    def record_leave(self) -> None:
        """Record the first acknowledgement that this upstream leaves."""
        if all(one.instance != self.instance for one in self.ledger.leaves):
            self.ledger.leaves.append(Leave(self.instance, time.monotonic()))

    async def wait_for_leave(self, timeout_s: float) -> bool:
        """Wait for the acknowledgement of a leave; return whether it came."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if any(one.instance == self.instance for one in self.ledger.leaves):
                return True
            await asyncio.sleep(LEAVE_POLL_S)
        return False

    async def end(self) -> None:
        """End this life with its connections, and what it holds."""
        self.ending = True
        await self.end_abruptly()
        await self.link.stop()
        await self.stop()
        self.record_holds([], time.monotonic())

    # Keys.

    def apply_grants(
        self, rows: Iterable[list[Any]], text: str, sent_at: float
    ) -> None:
        """Hold the granted rows and record since when."""
        super().apply_grants(rows, text, sent_at)
        self.record_holds(self.holds, time.monotonic())

    async def grant(
        self, holds: CalledHolds, body: dict[str, Any], arrived_at: float
    ) -> web.Response:
        """Hold the granted keys and record since when."""
        response = await super().grant(holds, body, arrived_at)
        self.record_called_holds(holds)
        return response

    async def release(
        self, holds: CalledHolds, body: dict[str, Any], arrived_at: float
    ) -> web.Response:
        """Give up keys; they aren't held any more while work on them goes on."""
        releasing = asyncio.create_task(super().release(holds, body, arrived_at))
        await asyncio.sleep(0)
        self.record_called_holds(holds)
        return await releasing

    def record_called_holds(self, holds: CalledHolds) -> None:
        """Record what is held after a call."""
        now = time.monotonic()
        self.record_holds(holds.held(now), now)

    def record_holds(self, holds: list[Hold], now: float) -> None:
        """Extend the periods of rows that are still held, and close the others."""
        periods = {}
        for hold in holds:
            row = (hold.first, hold.last, hold.fence)
            period = self.open_periods.pop(row, None)
            if period is None or period.until < now:
                if period is not None:
                    self.ledger.holds.append(period)
                period = HoldPeriod(self.instance, self.host, *row, now, hold.until)
            periods[row] = period._replace(until=hold.until)
        for period in self.open_periods.values():
            self.ledger.holds.append(period._replace(until=min(now, period.until)))
        self.open_periods = periods

    # Requests.

    async def work(
        self, run: Run, request: web.BaseRequest, key: int
    ) -> web.StreamResponse:
        """Work for as long as the query says, and answer or break the answer."""
        begun_at = time.monotonic()
        result = "given_up"
        trouble = self.next_answer_fault()
        query = parse_qs(urlsplit(run.target).query)
        try:
            await asyncio.sleep(int(query.get("work", ["20"])[0]) / 1000)
            result = "broken" if trouble in INCOMPLETE_ANSWER_FAULTS else "whole"
            return await self.answer(run, request, trouble)
        except asyncio.CancelledError:
            result = "ended" if self.ending else result
            raise
        finally:
            if self.crashed.is_set():
                result = "ended"
            self.ledger.runs.append(
                RunRecord(
                    run.request_id,
                    self.instance,
                    self.host,
                    self.service,
                    key,
                    run.target,
                    begun_at,
                    time.monotonic(),
                    result,
                    run.body,
                )
            )

    def next_answer_fault(self) -> str:
        """Return the fault for the next answer, empty for none."""
        self.served += 1
        return self.answer_fault if self.served % ANSWER_FAULT_INTERVAL == 0 else ""

    async def answer(
        self, run: Run, request: web.BaseRequest, trouble: str
    ) -> web.StreamResponse:
        """Answer a request."""
        headers = {"Response-Signature": self.instance, "Request-Id": run.request_id}
        body = answer_body(run.request_id, run.body)
        transport = request.transport
        if trouble == "silence":
            await asyncio.sleep(SILENCE_S)
        if trouble == "lose" and transport is not None:
            transport.abort()
        if trouble == "cut":
            return await self.cut_answer(request, headers, body)
        if trouble == "repeat_answer" and transport is not None:
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            copy = f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_AFTER_S, transport.write, copy.encode() + body)
        if self.served % 2:
            return web.Response(headers=headers, body=body)
        chunked = web.StreamResponse(headers=headers)
        chunked.enable_chunked_encoding()
        with contextlib.suppress(aiohttp.ClientError, ConnectionError):
            await chunked.prepare(request)
            await chunked.write(body)
        return chunked

    async def cut_answer(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Send a part of the answer and close the connection."""
        response = web.StreamResponse(headers=headers)
        if self.served % 2:
            response.content_length = len(body)
        else:
            response.enable_chunked_encoding()
        with contextlib.suppress(aiohttp.ClientError, ConnectionError):
            await response.prepare(request)
            await response.write(body[: len(body) // 2])
            if request.transport is not None:
                request.transport.close()
        return response
