"""Demonstration: a small deployment serves callers and survives the loss of a host.

``python -m sassafraswharf_bench.demo`` starts three daemons with the control
part and four upstream stand-ins on loopback, applies a configuration, looks
up, books and pays, kills the host of a key and shows the key served again.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf.declare import deployment
from sassafraswharf.declare import path_key
from sassafraswharf.declare import service
from sassafraswharf.declare import weights
from sassafraswharf_bench.local_deployment import HostSpec
from sassafraswharf_bench.local_deployment import LocalDeployment
from sassafraswharf_bench.local_deployment import StandInSpec


if TYPE_CHECKING:
    import aiohttp


KEY = "merlin"
RECOVERY_TARGET_S = 2.0
HOSTS = (
    HostSpec("dub-a-1", "dub-a"),
    HostSpec("dub-b-1", "dub-b"),
    HostSpec("dub-c-1", "dub-c"),
)
STAND_INS = (
    StandInSpec("diary-1", "diary", "dub-a-1"),
    StandInSpec("diary-2", "diary", "dub-b-1"),
    StandInSpec("diary-3", "diary", "dub-c-1"),
    StandInSpec("deposit-1", "deposit", "dub-a-1", ("--no-checks-grants",)),
    StandInSpec("deposit-2", "deposit", "dub-b-1", ("--no-checks-grants",)),
    StandInSpec("deposit-3", "deposit", "dub-c-1", ("--no-checks-grants",)),
)


def configuration() -> Any:  # noqa: ANN401
    """Return the configuration that the demonstration applies."""
    return deployment(
        weights=weights(unavailable=6, imbalance=2, churn=2),
        services=[
            service(
                "diary",
                prefix="/diary",
                key=path_key(0),
                repeatable=["GET /*"],
                at_most_once=["POST /*"],
                deadline_s=5.0,
                admit="any",
            ),
            service(
                "deposit",
                prefix="/deposit",
                key=None,
                repeatable=["GET /*"],
                at_most_once=["POST /*/deposits"],
                deadline_s=5.0,
                admit="any",
            ),
        ],
    )


def say(text: str) -> None:
    """Print one line of the demonstration."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


async def call(
    client: aiohttp.ClientSession,
    method: str,
    url: str,
    idempotency_key: str | None = None,
    body: dict[str, Any] | None = None,
) -> tuple[int, dict[str, str], dict[str, Any]]:
    """Send a request as a caller would."""
    fields = {} if idempotency_key is None else {"Idempotency-Key": idempotency_key}
    async with client.request(method, url, headers=fields, json=body) as response:
        return response.status, dict(response.headers), await response.json()


async def serve_callers(local: LocalDeployment) -> None:
    """Look up, book and pay, and repeat the payment."""
    url = local.public_url("dub-a-1")
    status, fields, found = await call(local.client, "GET", f"{url}/diary/{KEY}")
    say(f"lookup of {KEY}: {status} from {found['upstream']}")
    owner = fields["Sassafraswharf-Owner"]
    status, _, found = await call(
        local.client, "POST", f"{owner}/diary/{KEY}", "booking-1"
    )
    say(f"booking sent straight to {owner}: {status}, {found['bookings']} booked")
    deposit = f"{url}/deposit/{KEY}/deposits"
    for attempt in ("first", "second"):
        status, _, found = await call(
            local.client, "POST", deposit, "deposit-1", {"amount": 20}
        )
        say(f"deposit, {attempt} time with the same key: {status}, {found['deposits']}")


async def lose_owner(local: LocalDeployment) -> float:
    """Kill the host of the key and return the seconds until it is served."""
    owner = await local.admin(f"explain?service=diary&key={KEY}")
    host = owner["host"]
    other = next(name for name in local.hosts if name != host)
    say(f"{KEY} belongs to {owner['upstream']} on {host}; both are killed now")
    started_at = time.monotonic()
    stand_ins = [spec.name for spec in STAND_INS if spec.host == host]
    await local.kill(host, *stand_ins)
    url = f"{local.public_url(other)}/diary/{KEY}"
    while True:
        status, _, found = await call(local.client, "GET", url)
        if status == 200:
            break
    elapsed_s = time.monotonic() - started_at
    say(f"served again by {found['upstream']} after {elapsed_s:.2f} s")
    return elapsed_s


async def demonstrate(folder: Path) -> bool:
    """Run the demonstration and return whether everything worked."""
    async with LocalDeployment(folder, HOSTS) as local:
        await local.start_hosts()
        reply = await local.apply(configuration(), "demo-1")
        say(f"configuration: {reply['message']}")
        for spec in STAND_INS:
            await local.start_stand_in(spec)
        await local.wait_until_owned()
        say(f"{len(STAND_INS)} upstreams announced themselves and own all slots")
        await serve_callers(local)
        elapsed_s = await lose_owner(local)
        audit = await local.admin("audit?group=cell-1&limit=3")
        for entry in audit["entries"]:
            say(f"audit: {entry['action']} {entry['subject']} by {entry['actor']}")
        for name, process in local.processes.items():
            if process.returncode is None and name in local.hosts:
                say(f"planned stop of {name}: exit status {await local.stop(name)}")
    return elapsed_s <= RECOVERY_TARGET_S


def main() -> None:
    """Run the demonstration; the exit status is 1 when something failed."""
    with tempfile.TemporaryDirectory(prefix="sassafraswharf-demo-") as folder:
        succeeded = asyncio.run(demonstrate(Path(folder)))
    say("demo ok" if succeeded else "demo failed")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
