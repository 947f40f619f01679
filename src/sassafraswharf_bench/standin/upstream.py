"""Request handling of the stand-in; the control endpoints are in ``application``."""

from __future__ import annotations

import asyncio
import json
import os
import time

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from aiohttp import web

from sassafraswharf_bench.standin.behaviour import Behaviour
from sassafraswharf_bench.standin.behaviour import service_time_s
from sassafraswharf_bench.standin.grants import GrantTable
from sassafraswharf_bench.standin.ledger import Ledger


if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from pathlib import Path

    from sassafraswharf_bench.standin.nested import NestedCalls


NOT_RUN_HEADER = "Sassafraswharf-Not-Run"
DRAIN_GRACE_S = 2.0
CRASH_EXIT_STATUS = 70


class Identity(NamedTuple):
    """Identity of the stand-in; constant for the life of the process."""

    upstream: str
    service: str
    address: str
    connections: int
    incarnation: int
    key_segment: int = 1


class Refusal(NamedTuple):
    """A refusal that states that the request was not run."""

    status: int
    reason: str
    cause: str


class Upstream:
    """One upstream: state per key, grants, drain and injected faults."""

    def __init__(
        self,
        identity: Identity,
        behaviour: Behaviour,
        rng: random.Random,
        runs_file: Path | None = None,
        crash: Callable[[int], Any] = os._exit,
        now: Callable[[], float] = time.monotonic,
        calls: NestedCalls | None = None,
    ) -> None:
        self.identity = identity
        self.behaviour = behaviour
        self.rng = rng
        self.crash = crash
        self.now = now
        self.calls = calls
        self.ledger = Ledger(runs_file)
        self.grants = GrantTable(identity.upstream)
        self.started_at = now()
        self.draining_since: float | None = None
        self.leaving = False
        self.in_flight = 0
        self.counts: Counter[str] = Counter()

    def announcement(self) -> dict[str, Any] | None:
        """Return the fields of ``AnnounceUpstream``, or None while withheld."""
        if not self.behaviour.announces:
            return None
        if self.draining_since is not None and not self.leaving:
            return None
        leaving = {"leaving": True} if self.leaving else {}
        return leaving | {
            "upstream": self.identity.upstream,
            "service": self.identity.service,
            "address": self.identity.address,
            "slots": self.behaviour.slots,
            "connections": self.identity.connections,
            "checks_grants": self.behaviour.checks_grants,
            "incarnation": self.identity.incarnation,
            "speed": self.behaviour.speed,
        }

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run one request of a caller."""
        arrived_at = self.now()
        body = await request.read()
        refusal = self.refusal(request)
        if refusal is not None:
            return self.not_run_response(refusal)
        if request.query.get("mark") == "crash":
            self.crash(CRASH_EXIT_STATUS)
        work = self.run(request, body, arrived_at)
        if self.behaviour.honours_cancellation:
            answer = await self._count_in_flight(work)
        else:
            answer = await asyncio.shield(
                asyncio.ensure_future(self._count_in_flight(work))
            )
        if isinstance(answer, Refusal):
            return self.not_run_response(answer)
        if self.behaviour.fails or request.query.get("mark") == "cut":
            return await self.send_truncated_answer(request, answer)
        failed = answer.get("nested", {}).get("status", 200) != 200
        return web.json_response(answer, status=502 if failed else 200)

    def refusal(self, request: web.Request) -> Refusal | None:
        """Return why the request is not run, or None."""
        now = self.now()
        drained_at = self.draining_since
        if drained_at is not None and now - drained_at >= DRAIN_GRACE_S:
            return Refusal(503, "the upstream is draining", "draining")
        if self.behaviour.checks_grants:
            slot = header_number(request, "Sassafraswharf-Slot")
            epoch = header_number(request, "Sassafraswharf-Epoch")
            reason = self.grants.refusal_reason(
                slot, epoch, now, self.behaviour.checks_validity
            )
            if reason is not None:
                return Refusal(409, reason, "stale_grant")
        if self.behaviour.shed and self.in_flight >= self.behaviour.slots:
            return Refusal(503, "all slots are busy", "shed")
        return None

    async def _count_in_flight(self, work: Any) -> dict[str, Any] | Refusal:  # noqa: ANN401
        self.in_flight += 1
        try:
            result: dict[str, Any] | Refusal = await work
        except asyncio.CancelledError:
            self.counts["cancelled"] += 1
            raise
        finally:
            self.in_flight -= 1
        return result

    async def run(
        self, request: web.Request, body: bytes, arrived_at: float
    ) -> dict[str, Any] | Refusal:
        """Spend the service time, then change the state and return the answer.

        The deadline is checked right before the change, because a process
        that was frozen meanwhile must not run the request after its deadline.
        """
        up_for_s = self.now() - self.started_at
        await asyncio.sleep(
            service_time_s(self.behaviour, up_for_s, self.in_flight, self.rng)
        )
        nested = None
        if self.calls is not None:
            elapsed_s = self.now() - arrived_at
            nested = await self.calls.call(request, self.key_of(request), elapsed_s)
        deadline_ms = header_number(request, "Sassafraswharf-Deadline-Ms")
        expired = (
            deadline_ms is not None and self.now() - arrived_at >= deadline_ms / 1000
        )
        if expired and self.behaviour.honours_deadlines:
            return Refusal(503, "the deadline has passed", "expired")
        if self.draining_since is not None:
            self.counts["run_while_draining"] += 1
        self.counts["run"] += 1
        answer = self.answer(request, body)
        if nested is not None:
            answer["nested"] = nested._asdict()
        return answer

    def key_of(self, request: web.Request) -> str:
        """Return the path segment with the key, empty if there is none."""
        segments = request.path.strip("/").split("/")
        segment = self.identity.key_segment
        return segments[segment] if segment < len(segments) else ""

    def answer(self, request: web.Request, body: bytes) -> dict[str, Any]:
        """Apply the request to the state and return the answer's content."""
        segments = request.path.strip("/").split("/")
        key = self.key_of(request)
        idempotency_key = request.headers.get("Idempotency-Key")
        if request.method == "GET":
            state = self.ledger.lookup(key)
        elif segments[-1] == "deposits":
            state = self.ledger.add(key, 0, deposit_amount(body), idempotency_key)
        else:
            state = self.ledger.add(key, 1, 0, idempotency_key)
        return {
            "key": key,
            "id": request.query.get("id", ""),
            "request_id": request.headers.get("Sassafraswharf-Request-Id", ""),
            "idempotency_key": idempotency_key,
            "upstream": self.identity.upstream,
            "incarnation": self.identity.incarnation,
            "slot": header_number(request, "Sassafraswharf-Slot"),
            "epoch": header_number(request, "Sassafraswharf-Epoch"),
            **state,
        }

    def not_run_response(self, refusal: Refusal) -> web.Response:
        """Return the refusal with the header that says it was not run."""
        self.counts[refusal.cause] += 1
        return web.json_response(
            {"message": refusal.reason},
            status=refusal.status,
            headers={NOT_RUN_HEADER: "1"},
        )

    async def send_truncated_answer(
        self, request: web.Request, answer: dict[str, Any]
    ) -> web.StreamResponse:
        """Send half of the body with the full Content-Length, then disconnect."""
        self.counts["cut"] += 1
        content = json.dumps(answer).encode()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(content)
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        if request.transport is not None:
            request.transport.close()
        return response


def header_number(request: web.Request, name: str) -> int | None:
    """Return a header's whole number, or None if it is missing or not a number."""
    text = request.headers.get(name, "")
    return int(text) if text.isdecimal() else None


def deposit_amount(body: bytes) -> int:
    """Return the ``amount`` of a deposit's JSON body; 1 if it has none."""
    try:
        content = json.loads(body)
    except ValueError:
        return 1
    amount = content.get("amount", 1) if isinstance(content, dict) else 1
    return amount if isinstance(amount, int) else 1
