"""An endpoint that announces itself and runs requests for the keys it holds."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp
import msgspec

from aiohttp import web

from sassafraswharf.settings.durations import parse_duration
from sassafraswharf_bench.provider.called_holds import CalledHolds
from sassafraswharf_bench.provider.called_holds import Hold
from sassafraswharf_bench.provider.called_holds import subtract_range


if TYPE_CHECKING:
    from collections.abc import Iterable


CRASH = "mark=crash"
"""A request with this in its query ends the endpoint that begins to run it."""
NOT_RUN = {"Not-Executed": "1"}
ANSWER_TIMEOUT_S = 1.0
GRANT_CALL_PATH = "/sassafraswharf/"
RELEASE_PAUSE_S = 0.1


class Run(NamedTuple):
    """A request that an endpoint began to run."""

    request_id: str
    instance: str
    method: str
    target: str
    origin: str
    body: bytes


class Endpoint:
    """Implements the provider's endpoint protocol, without fault injection."""

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        *,
        keyed: bool = False,
        slots: int = 10,
        work_s: float = 0.02,
        heartbeat_s: float = 0.3,
        called: bool = False,
    ) -> None:
        """Prepare a new instance; ``start`` runs it.

        With ``called`` it is granted keys by calls. ``call_delays_s`` are the delays
        in seconds with which the next calls are carried out, without an answer.
        """
        self.call_granted_holds = CalledHolds() if called else None
        self.call_delays_s: list[float] = []
        self.delayed_calls: set[asyncio.Task[web.Response]] = set()
        self.service = service
        self.address = address
        self.listen_address = address
        self.control = control
        self.keyed = keyed
        self.slots = slots
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.instance = f"i-{secrets.token_hex(5)}"
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.sequence = 0
        self.holds: list[Hold] = []
        self.releasing: list[Hold] = []
        self.released: list[tuple[int, int, str]] = []
        self.running: list[int] = []
        self.ended = asyncio.Condition()
        self.runs: list[Run] = []
        self.grants: list[tuple[float, tuple[Hold, ...]]] = []
        self.crashed = asyncio.Event()
        self.crash: asyncio.Task[None] | None = None
        self.server: web.Server | None = None
        self.site: web.TCPSite | None = None
        self.runner: web.ServerRunner | None = None
        self.task: asyncio.Task[None] | None = None
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Listen and announce."""
        self.server = web.Server(self.handle, handler_cancellation=True)
        self.runner = web.ServerRunner(self.server)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, *self.listen_address)
        await self.site.start()
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        )
        self.task = asyncio.create_task(self.announce())

    async def stop(self) -> None:
        """Stop at once, without deregistering."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        if self.session is not None:
            await self.session.close()
        if self.runner is not None:
            await self.runner.cleanup()

    async def end_abruptly(self) -> None:
        """End like a process that crashes: all connections are lost at once."""
        self.crashed.set()
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            for connection in self.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
        if self.site is not None:
            await self.site.stop()

    def held(self, now: float) -> list[Hold]:
        """Return the holds that have not run out."""
        return [hold for hold in self.holds if hold.until > now]

    async def announce(self) -> None:
        """Send heartbeats, sooner while something is to be released."""
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                await self.heartbeat()
            pause_s = RELEASE_PAUSE_S if self.releasing else self.heartbeat_s
            await asyncio.sleep(pause_s)

    async def heartbeat(self) -> bool:
        """Send one heartbeat, take what its answer grants, return if it was taken."""
        self.finish_releases()
        now = time.monotonic()
        self.sequence += 1
        held = {(one.first, one.last, one.fence) for one in self.held(now)}
        held.update((one.first, one.last, one.fence) for one in self.releasing)
        reported = list(self.released)
        body = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "local",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemaining": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.call_granted_holds is None:
            body |= {"holds": sorted(held), "released": reported}
        url = self.url("Endpoints.Heartbeat")
        assert self.session is not None
        async with self.session.post(url, data=msgspec.json.encode(body)) as response:
            content = await response.read()
            if not response.ok:
                return False
        answer = msgspec.json.decode(content)
        self.released = [one for one in self.released if one not in reported]
        if "holds" in answer:
            self.apply_grants(answer["holds"], answer["hold_time"], now)
        return True

    def apply_grants(
        self, rows: Iterable[list[Any]], text: str, sent_at: float
    ) -> None:
        """Hold exactly the granted rows, timed from when the heartbeat was sent."""
        until = sent_at + parse_duration(text).unwrap()
        granted = [Hold(row[0], row[1], row[2], until) for row in rows]
        for old in self.held(time.monotonic()):
            left_out = [old]
            for one in granted:
                if one.fence == old.fence:
                    left_out = subtract_range(left_out, one.first, one.last)
            self.releasing += left_out
        self.holds = granted
        self.grants.append((sent_at, tuple(granted)))

    def finish_releases(self) -> None:
        """Give up keys without work in progress, each with a handover token."""
        working = []
        for hold in self.releasing:
            if any(hold.first <= key <= hold.last for key in self.running):
                working.append(hold)
            else:
                token = secrets.token_hex(8)
                self.released.append((hold.first, hold.last, token))
        self.releasing = working

    async def deregister(self) -> bool:
        """Deregister this endpoint; return whether that was acknowledged."""
        assert self.session is not None
        url = self.url("Endpoints.Deregister")
        try:
            async with self.session.post(url) as response:
                await response.read()
                return response.ok
        except (aiohttp.ClientError, TimeoutError):
            return False

    def url(self, call: str) -> str:
        """Return the address of a call for this endpoint."""
        host, port = self.control
        return f"http://{host}:{port}/sassafraswharf/{call}/{self.instance}"

    async def handle_grant_call(
        self, request: web.BaseRequest, holds: CalledHolds
    ) -> web.Response:
        """Handle a grant or release call of the local router, possibly late."""
        arrived_at = time.monotonic()
        body = msgspec.json.decode(await request.read())
        carry_out = self.grant if request.path.endswith("/grant") else self.release
        if not self.call_delays_s:
            return await carry_out(holds, body, arrived_at)
        delay_s = self.call_delays_s.pop(0)

        async def carry_out_late() -> web.Response:
            await asyncio.sleep(delay_s)
            return await carry_out(holds, body, arrived_at)

        late = asyncio.create_task(carry_out_late())
        self.delayed_calls.add(late)
        late.add_done_callback(self.delayed_calls.discard)
        await asyncio.Event().wait()
        raise AssertionError

    async def grant(
        self, holds: CalledHolds, body: dict[str, Any], arrived_at: float
    ) -> web.Response:
        """Hold the granted keys."""
        hold_s = parse_duration(body["hold_time"]).unwrap()
        taken = holds.grant(
            body["fromRev"], body["targetVersion"], body["fence"], arrived_at, hold_s
        )
        return web.Response(status=200 if taken else 409)

    async def release(
        self, holds: CalledHolds, body: dict[str, Any], _arrived_at: float
    ) -> web.Response:
        """Give up keys; answer when the work on them has ended."""
        first, last = body["fromRev"], body["targetVersion"]
        holds.release(first, last)
        async with self.ended:
            await self.ended.wait_for(
                lambda: not any(first <= key <= last for key in self.running)
            )
        return web.Response(headers={"Handover": secrets.token_hex(8)})

    def holds_key(self, key: int) -> bool:
        """Return whether requests for a key are run."""
        now = time.monotonic()
        if self.call_granted_holds is not None:
            return self.call_granted_holds.holds_key(key, now)
        return any(one.first <= key <= one.last for one in self.held(now))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, or say that it was not run."""
        headers = request.headers
        if self.call_granted_holds is not None and request.path.startswith(
            GRANT_CALL_PATH
        ):
            return await self.handle_grant_call(request, self.call_granted_holds)
        expected = headers.get("Expect-Instance", self.instance)
        key = int(headers.get("Shard-Key", "0"))
        if expected != self.instance or (self.keyed and not self.holds_key(key)):
            return web.Response(status=421, headers=NOT_RUN)
        if len(self.running) >= self.slots:
            return web.Response(status=503, headers=NOT_RUN)
        self.running.append(key)
        request_id = headers.get("Request-Id", "")
        try:
            body = await request.read()
            run = Run(
                request_id,
                self.instance,
                request.method,
                request.raw_path,
                headers.get("Caller-Service", ""),
                body,
            )
            self.runs.append(run)
            if CRASH in request.raw_path:
                self.crash = asyncio.create_task(self.end_abruptly())
            return await self.work(run, request, key)
        finally:
            self.running.remove(key)
            async with self.ended:
                self.ended.notify_all()

    async def work(
        self, run: Run, _request: web.BaseRequest, _key: int
    ) -> web.StreamResponse:
        """Work on a request and return its answer."""
        await asyncio.sleep(self.work_s)
        signature = {"Response-Signature": self.instance, "Request-Id": run.request_id}
        return web.Response(headers=signature, body=b"served " + run.body)
