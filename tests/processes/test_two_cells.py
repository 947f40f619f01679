from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from sassafraswharf_bench.local_deployment import HostSpec
from tests.processes.fleet import KEYED
from tests.processes.fleet import WAIT_S
from tests.processes.fleet import Fleet
from tests.processes.fleet import Outcome
from tests.processes.fleet import is_settled


if TYPE_CHECKING:
    from pathlib import Path


CELLS = ("cell-1", "cell-2")
HOSTS = (
    *(HostSpec(f"c{n}", f"z{n}", router=False, cells=CELLS) for n in (1, 2, 3)),
    HostSpec("r1", "z1", control=False, cell="cell-1"),
    HostSpec("r2", "z2", control=False, cell="cell-2"),
)


def test_two_cells_share_the_control_hosts(tmp_path: Path) -> None:
    """Guards against renewals, pulls or operators that reach the wrong cell.

    The first sessions of both cells may have the same number, so the leader of
    the wrong cell would accept it.
    """

    async def scenario() -> None:
        async with Fleet(tmp_path, HOSTS, services=(KEYED,)) as fleet:
            await fleet.start_hosts()
            assert (await fleet.apply(fleet.document, "first"))["code"] == 0
            await asyncio.gather(*map(fleet.start_stand_in, fleet.stand_ins.values()))
            for router, cell in (("r1", "cell-1"), ("r2", "cell-2")):
                path = f"owners?cell={cell}"
                owners = await fleet.wait_until(path, is_settled, WAIT_S)
                assert owners["cell"] == cell
                runs = owners["services"][0]["runs"]
                assert {run["upstream"] for run in runs} == {f"{KEYED}-{router}"}
                await check_requests(fleet, router)
            await asyncio.sleep(2.0)
            await check_hosts(fleet)
            await check_operators(fleet)

    asyncio.run(scenario())


async def check_requests(fleet: Fleet, router: str) -> None:
    """Send a lookup and a booking to a router with one upstream on its host."""
    reply = await fleet.call_until_answered(router, "/diary/1")
    assert reply.content["upstream"] == f"{KEYED}-{router}"
    booked = await fleet.call(router, "POST", "/diary/1", f"booking-{router}")
    assert booked.outcome is Outcome.ANSWERED
    assert fleet.runs()[f"booking-{router}"] == 1


async def check_hosts(fleet: Fleet) -> None:
    """Check that the leaders show each router in its own cell with a lease."""
    cells: set[str] = set()
    live: dict[str, str] = {}
    for name in ("c1", "c2", "c3"):
        _, status = await fleet.ask_admin(name, "status", None)
        cells |= {cell["cell"] for cell in status["cells"]}
        for host in status["hosts"]:
            if host["live"] and "router" in host["parts"]:
                live[host["host"]] = host["cell"]
    assert cells == set(CELLS)
    assert live == {"r1": "cell-1", "r2": "cell-2"}


async def check_operators(fleet: Fleet) -> None:
    """Check that a change reaches the cell that it names, and no other one."""
    body = {"actor": "operator"}
    path = f"upstreams/{KEYED}-r2/drain"
    assert (await fleet.admin(path, body))["code"] == 4001
    assert (await fleet.admin(f"{path}?cell=cell-2", body))["code"] == 0
    assert (await fleet.admin("owners?cell=cell-3"))["code"] == 3001
    audit: Any = await fleet.admin("audit?group=cell-2")
    assert any(entry["action"] == "DrainUpstream" for entry in audit["entries"])
    other: Any = await fleet.admin("audit?group=cell-1")
    done = [e for e in other["entries"] if e["action"] == "DrainUpstream"]
    assert all(entry["code"] for entry in done)
