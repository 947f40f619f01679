from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import pytest

from sassafraswharf_bench import demo
from sassafraswharf_bench.local_deployment import LocalDeployment


if TYPE_CHECKING:
    from pathlib import Path


RESENDS = 5


async def status_and_code(
    local: LocalDeployment, method: str, path: str, key: str | None = None
) -> tuple[int, int]:
    fields = {} if key is None else {"Idempotency-Key": key}
    url = f"{local.public_url('dub-a-1')}{path}"
    async with local.client.request(method, url, headers=fields) as response:
        await response.read()
        return response.status, int(response.headers["Sassafraswharf-Code"])


async def resend_crashing_request(
    folder: Path, method: str, path: str, key: str | None
) -> tuple[int, list[int], list[int]]:
    """Return the crashes, the codes of the resends and the innocents' statuses."""
    async with LocalDeployment(folder, demo.HOSTS) as local:
        await local.start_hosts()
        await local.apply(demo.configuration(), "crash")
        for spec in demo.STAND_INS:
            await local.start_stand_in(spec)
        await local.wait_until_owned()
        codes: list[int] = []
        innocents: list[int] = []
        for _ in range(RESENDS):
            beside = [
                asyncio.create_task(status_and_code(local, "GET", f"/diary/key-{n}"))
                for n in range(8)
            ]
            codes.append((await status_and_code(local, method, path, key))[1])
            innocents += [(await task)[0] for task in beside]
        crashes = sum(
            local.processes[spec.name].returncode is not None for spec in demo.STAND_INS
        )
        return crashes, codes, innocents


@pytest.mark.parametrize(
    ("method", "path", "key", "most_crashes", "last_code"),
    [
        ("GET", "/diary/merlin?mark=crash", None, 2, 3109),
        ("POST", "/diary/merlin?mark=crash", None, 2, 3109),
        ("POST", "/diary/merlin?mark=crash", "booking-1", 1, 3201),
        ("GET", "/deposit/merlin?mark=crash", None, 2, 3109),
    ],
)
def test_a_crashing_request_is_contained(
    tmp_path: Path,
    method: str,
    path: str,
    key: str | None,
    most_crashes: int,
    last_code: int,
) -> None:
    """Guards against one resent request that takes the whole fleet down."""
    crashes, codes, innocents = asyncio.run(
        resend_crashing_request(tmp_path, method, path, key)
    )
    assert crashes <= most_crashes
    assert codes[-1] == last_code
    assert set(innocents) == {200}
