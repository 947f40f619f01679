"""Callers: send requests at their scheduled times and account for the answers."""

from __future__ import annotations

import asyncio
import json
import time

from typing import TYPE_CHECKING
from typing import NamedTuple

import aiohttp

from sassafraswharf_bench.traffic.arrivals import LOOKUP
from sassafraswharf_bench.traffic.arrivals import Arrival
from sassafraswharf_bench.traffic.arrivals import Traffic
from sassafraswharf_bench.traffic.arrivals import generate_arrivals
from sassafraswharf_bench.traffic.arrivals import loopback_url
from sassafraswharf_bench.traffic.tally import COMPLETE
from sassafraswharf_bench.traffic.tally import Reply
from sassafraswharf_bench.traffic.tally import Tally
from sassafraswharf_bench.traffic.tally import classify


if TYPE_CHECKING:
    from collections.abc import Mapping


MAX_REMEMBERED_OWNERS = 100_000


class CallerOptions(NamedTuple):
    """Where and how requests are sent.

    ``paths`` has a template with ``{key}`` per class. With ``follows_owner``
    the next request for a key goes to the address in ``Sassafraswharf-Owner``.
    A request without a complete answer is sent again up to ``resends`` times,
    with the same idempotency key, to the next target.
    """

    targets: tuple[str, ...]
    paths: Mapping[str, str]
    run: str
    timeout_s: float = 5.0
    max_in_flight: int = 1000
    resends: int = 0
    resend_pause_s: float = 0.1
    follows_owner: bool = False


class Callers:
    """All callers of one run; open loop, so a slow answer delays no arrival."""

    def __init__(self, traffic: Traffic, options: CallerOptions) -> None:
        self.traffic = traffic
        self.options = options
        self.targets = [loopback_url(target) for target in options.targets]
        self.owners: dict[tuple[str, str], str] = {}
        self.tally = Tally()
        self.started_at = 0.0

    async def run(self) -> Tally:
        """Send everything, wait for all answers and return the accounting."""
        timeout = aiohttp.ClientTimeout(total=self.options.timeout_s)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            self.started_at = time.monotonic()
            calls: set[asyncio.Task[None]] = set()
            for arrival in generate_arrivals(self.traffic):
                await self._wait_until(arrival.at_s)
                if len(calls) >= self.options.max_in_flight:
                    self.tally.not_sent += 1
                    continue
                call = asyncio.create_task(self._call(session, arrival))
                calls.add(call)
                call.add_done_callback(calls.discard)
            await asyncio.gather(*calls)
        return self.tally

    async def _wait_until(self, at_s: float) -> None:
        wait_s = self.started_at + at_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        delay_s = time.monotonic() - self.started_at - at_s
        self.tally.max_start_delay_s = max(self.tally.max_start_delay_s, delay_s)

    async def _call(self, session: aiohttp.ClientSession, arrival: Arrival) -> None:
        request_id = f"{self.options.run}-{arrival.number}"
        replies: list[Reply] = []
        outcome = None
        for attempt in range(self.options.resends + 1):
            if attempt:
                await asyncio.sleep(self.options.resend_pause_s)
            replies.append(await self._attempt(session, arrival, request_id, attempt))
            outcome = classify(replies, arrival.key, request_id)
            if outcome.result == COMPLETE:
                break
        if outcome is None:
            return
        latency_s = time.monotonic() - self.started_at - arrival.at_s
        self.tally.classes[arrival.kind].record(outcome, latency_s)
        if arrival.kind != LOOKUP:
            self.tally.results_by_key[request_id] = outcome.result

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        arrival: Arrival,
        request_id: str,
        attempt: int,
    ) -> Reply:
        self.tally.attempts += 1
        path = self.options.paths[arrival.kind].format(key=arrival.key)
        target = self._target(arrival, attempt)
        method, data, headers = "GET", None, {}
        if arrival.kind != LOOKUP:
            method = "POST"
            data = json.dumps({"amount": 1})
            headers["Idempotency-Key"] = request_id
        try:
            async with session.request(
                method,
                f"{target}{path}?id={request_id}",
                data=data,
                headers=headers,
                allow_redirects=False,
            ) as response:
                reply = Reply(
                    response.status,
                    response.headers.get("Sassafraswharf-Code", ""),
                    response.headers.get("Sassafraswharf-Not-Run", ""),
                    await response.read(),
                )
                self._remember_owner(
                    arrival, response.headers.get("Sassafraswharf-Owner", "")
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.owners.pop((arrival.kind, arrival.key), None)
            return Reply(error=f"caller-{type(error).__name__}")
        return reply

    def _target(self, arrival: Arrival, attempt: int) -> str:
        owner = self.owners.get((arrival.kind, arrival.key))
        if owner is not None and attempt == 0:
            return owner
        return self.targets[(arrival.number + attempt) % len(self.targets)]

    def _remember_owner(self, arrival: Arrival, owner: str) -> None:
        if not self.options.follows_owner or not owner:
            return
        if len(self.owners) < MAX_REMEMBERED_OWNERS:
            self.owners[arrival.kind, arrival.key] = loopback_url(owner)
