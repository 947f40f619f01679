"""Local deployment fixture that classifies replies and counts executed requests."""

from __future__ import annotations

import asyncio
import json

from collections import Counter
from contextlib import asynccontextmanager
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp

from sassafraswharf.declare import deployment
from sassafraswharf.declare import path_key
from sassafraswharf.declare import service
from sassafraswharf.declare import weights
from sassafraswharf_bench.local_deployment import HostSpec
from sassafraswharf_bench.local_deployment import LocalDeployment
from sassafraswharf_bench.local_deployment import StandInSpec


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path


WAIT_S = 30.0
"""Timeout of each wait; a test that reaches it has failed."""
CALL_TIMEOUT_S = 12.0
HOSTS = (HostSpec("a", "z1"), HostSpec("b", "z2"), HostSpec("c", "z3"))
KEYED, UNKEYED = "diary", "deposit"


class Outcome(Enum):
    """What a reply states about the execution of the request."""

    ANSWERED = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()


class Reply(NamedTuple):
    """Response to one attempt; status 0 means that no complete response arrived."""

    status: int
    code: int = -1
    not_run: str = ""
    headers: Mapping[str, str] = {}
    body: bytes = b""

    @property
    def outcome(self) -> Outcome:
        if self.status == 0 or self.code < 0:
            return Outcome.UNKNOWN
        if self.code == 0:
            return Outcome.ANSWERED
        return Outcome.NOT_RUN if self.not_run else Outcome.UNKNOWN

    @property
    def content(self) -> Any:
        return json.loads(self.body)


def document(
    weight: float = 6, services: Sequence[str] = (KEYED, UNKEYED), *, moves: bool = True
) -> Any:
    """Return a configuration with a keyed service and one without a key.

    Without ``moves``, slots are not moved to balance the load.
    """
    declared = [
        service(
            KEYED,
            prefix="/diary",
            key=path_key(0),
            repeatable=["GET /*"],
            at_most_once=["POST /*"],
            slot_count=64,
            deadline_s=5.0,
            admit="any",
        ),
        service(
            UNKEYED,
            prefix="/deposit",
            key=None,
            repeatable=["GET /*"],
            at_most_once=["POST /*/deposits"],
            slot_count=64,
            deadline_s=5.0,
            admit="any",
        ),
    ]
    return deployment(
        weights=weights(unavailable=weight, imbalance=2.0 if moves else 0.0, churn=2),
        services=[one for one in declared if one["name"] in services],
    )


class Fleet(LocalDeployment):
    """A local deployment that counts executions across upstream crashes."""

    def __init__(
        self,
        folder: Path,
        hosts: Sequence[HostSpec] = HOSTS,
        flags: Sequence[str] = (),
        services: Sequence[str] = (KEYED, UNKEYED),
        *,
        moves: bool = False,
    ) -> None:
        super().__init__(folder, hosts)
        self.stand_ins = {
            f"{name}-{host.name}": StandInSpec(
                f"{name}-{host.name}",
                name,
                host.name,
                (
                    "--service-ms=15",
                    "--distribution=fixed",
                    "--no-checks-grants" if name == UNKEYED else "--checks-grants",
                    f"--runs-file={folder / f'runs-{name}-{host.name}'}",
                    *flags,
                ),
            )
            for name in services
            for host in hosts
            if host.router
        }
        self.document = document(services=services, moves=moves)
        self.caller_session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Fleet:
        await super().__aenter__()
        self.caller_session = self.create_caller_session()
        return self

    async def __aexit__(self, *error: object) -> None:
        if self.caller_session is not None:
            await self.caller_session.close()
        await super().__aexit__(*error)

    def create_caller_session(self) -> aiohttp.ClientSession:
        """Return a client without automatic retries."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        session = aiohttp.ClientSession(
            connector=connector, headers={"Accept-Encoding": "identity"}
        )
        session._retry_connection = False
        return session

    async def start_all(self) -> None:
        """Start all processes and wait until every slot has a ready owner."""
        await self.start_hosts()
        applied = await self.apply(self.document, "first")
        assert applied["code"] == 0, applied
        await asyncio.gather(*map(self.start_stand_in, self.stand_ins.values()))
        await self.wait_until_settled()

    async def wait_until_settled(self) -> Any:
        """Wait until all slots are owned and at-most-once requests are served."""
        return await self.wait_until("owners", is_settled, WAIT_S)

    def stand_ins_on(self, host: str) -> list[str]:
        """Return the names of the stand-ins on a host."""
        return [spec.name for spec in self.stand_ins.values() if spec.host == host]

    async def restart(self, host: str) -> None:
        """Restart those processes of a host and its stand-ins that have exited."""
        if self.processes[host].returncode is not None:
            await self.start_hosts(host)
        for name in self.stand_ins_on(host):
            if self.processes[name].returncode is not None:
                await self.start_stand_in(self.stand_ins[name])

    async def call(
        self,
        host: str,
        method: str,
        path: str,
        idempotency_key: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one request to a host without retries."""
        return await self.send(
            f"{self.public_url(host)}{path}",
            method,
            idempotency_key,
            timeout_s,
            headers,
        )

    async def send(
        self,
        url: str,
        method: str,
        idempotency_key: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one request to a URL without retries."""
        assert self.caller_session is not None
        sent = dict(headers or {})
        if idempotency_key is not None:
            sent["Idempotency-Key"] = idempotency_key
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.caller_session.request(method, url, headers=sent) as response,
            ):
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return Reply(503, 3101, "attempt")  # no connection, so nothing was sent
        except (aiohttp.ClientError, TimeoutError):
            return Reply(0)
        code = int(response.headers.get("Sassafraswharf-Code", "-1"))
        not_run = response.headers.get("Sassafraswharf-Not-Run", "")
        return Reply(response.status, code, not_run, response.headers, body)

    async def call_until_answered(self, host: str, path: str) -> Reply:
        """Repeat a lookup until it is answered."""
        async with asyncio.timeout(WAIT_S):
            while True:
                reply = await self.call(host, "GET", path)
                if reply.outcome is Outcome.ANSWERED:
                    return reply
                await asyncio.sleep(0.02)

    async def owner(self, key: str, service_name: str = KEYED) -> Any:
        """Return the owner of a key as the cell leader reports it."""
        return await self.admin(f"explain?service={service_name}&key={key}")

    async def owned_key(self) -> tuple[str, Any]:
        """Return a key with its owner."""
        owner = await self.owner("key")
        assert owner["live"], owner
        return "key", owner

    async def leader(self, field: str = "cell") -> str:
        """Return the control host that leads the cell or the configuration."""

        def named(status: Any) -> Any:
            if field == "cell":
                return status["cells"][0]["leader"]
            return status["configuration_leader"]

        async with asyncio.timeout(WAIT_S):
            while True:
                for name, host in self.hosts.items():
                    if not host.control or not self.is_running(name):
                        continue
                    _, status = await self.ask_admin(name, "status", None)
                    address = None if status is None else named(status)
                    if address and address == self.admin_url(name)[len("http://") :]:
                        return name
                await asyncio.sleep(0.05)

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    def runs(self) -> Counter[str]:
        """Return how often each idempotency key has run on any stand-in."""
        found: Counter[str] = Counter()
        for path in self.folder.glob("runs-*"):
            found.update(path.read_text().split())
        return found

    async def wait_in_flight(self, stand_in: str, count: int) -> None:
        """Wait until a stand-in has at least ``count`` requests in flight."""
        async with asyncio.timeout(WAIT_S):
            while True:
                if (await self.state_of(stand_in))["in_flight"] >= count:
                    return
                await asyncio.sleep(0.01)

    async def state_of(self, stand_in: str) -> Any:
        """Return the counters of a stand-in."""
        return await self.get(f"http://{self.addresses[stand_in]}/-/state")


def is_settled(owners: Any) -> bool:
    """Return whether every slot is owned and no takeover is pending."""
    runs = [run for service in owners["services"] for run in service["runs"]]
    return bool(runs) and all(
        run["upstream"] and not run["sources"] and not run["closing"] for run in runs
    )


@asynccontextmanager
async def running_fleet(
    folder: Path,
    hosts: Sequence[HostSpec] = HOSTS,
    flags: Sequence[str] = (),
    services: Sequence[str] = (KEYED, UNKEYED),
    *,
    moves: bool = False,
) -> AsyncIterator[Fleet]:
    """Run a fleet for the duration of the context."""
    async with Fleet(folder, hosts, flags, services, moves=moves) as fleet:
        await fleet.start_all()
        yield fleet
