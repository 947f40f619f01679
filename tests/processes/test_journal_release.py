from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from sassafraswharf_bench.local_deployment import HostSpec
from tests.processes.fleet import KEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import running_fleet


if TYPE_CHECKING:
    from pathlib import Path


HOSTS = (
    *(HostSpec(f"control-{n}", f"z{n}", router=False) for n in (1, 2, 3)),
    *(HostSpec(f"router-{n}", f"z{n}", control=False) for n in (1, 2, 3)),
)
JOURNAL_UNAVAILABLE = 3204


async def code_of(fleet: Fleet, host: str, path: str, name: str) -> int:
    """Return the code of a booking after its router has received the release."""
    async with asyncio.timeout(WAIT_S):
        while True:
            reply = await fleet.call(host, "POST", path, name)
            if reply.code != JOURNAL_UNAVAILABLE:
                return reply.code
            await asyncio.sleep(0.05)


def test_an_operator_releases_slots_whose_journal_is_lost(tmp_path: Path) -> None:
    """Guards against slots that serve no booking for ten minutes after a loss.

    Two of the three members of the journal sets are killed at the same time.
    """

    async def scenario() -> None:
        async with running_fleet(tmp_path, HOSTS, services=(KEYED,)) as fleet:
            reply = await fleet.admin(
                f"journal/release?service={KEYED}", {"actor": "o"}
            )
            assert reply["code"] == 4003
            key, owner = await fleet.owned_key()
            survivor = next(
                host.name
                for host in HOSTS
                if host.router and host.name != owner["host"]
            )
            dead = [h.name for h in HOSTS if h.router and h.name != survivor]
            path = f"/{KEYED}/{key}"
            before = await fleet.call(survivor, "POST", path, "before")
            assert before.outcome is Outcome.ANSWERED
            await fleet.kill(
                *dead, *(name for host in dead for name in fleet.stand_ins_on(host))
            )
            await fleet.call_until_answered(survivor, path)
            refused = await fleet.call(survivor, "POST", path, "lost")
            assert refused.code == JOURNAL_UNAVAILABLE
            reply = await fleet.admin(
                f"journal/release?service={KEYED}", {"actor": "o"}
            )
            assert reply["code"] == 0
            await fleet.wait_until_settled()
            assert await code_of(fleet, survivor, path, "new") == 0
            assert await code_of(fleet, survivor, path, "before") == 0
            assert fleet.runs()["new"] == 1
            assert fleet.runs()["lost"] == 0
            audit = await fleet.admin("audit?group=cell-1")
            entries = [e for e in audit["entries"] if e["action"] == "ReleaseJournal"]
            assert [(e["actor"], e["code"]) for e in entries] == [("o", 4003), ("o", 0)]

    asyncio.run(scenario())
