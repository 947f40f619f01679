"""Tests that processes which start together make different random choices."""

from __future__ import annotations

import asyncio
import json
import time

from typing import TYPE_CHECKING

import pytest

from sassafraswharf.clock import BootClock
from sassafraswharf.fleet.control_node import ControlNode
from sassafraswharf.gateway.router_node import RouterNode
from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform.documents import DocumentReader
from sassafraswharf.platform.names import HEADER_NAMES
from sassafraswharf.randomness import create_generator
from sassafraswharf.settings.node_loader import parse_node
from tests.settings.test_node_loader import rendered


if TYPE_CHECKING:
    import random

    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    from sassafraswharf.settings.node_schema import Node


DRAWS = 8


def node(folder: Path, name: str, address: str) -> Node:
    document = {**rendered(folder, name), "address": address}
    return parse_node(json.dumps(document), folder).unwrap()


async def control_generator(folder: Path, address: str) -> random.Random:
    control = ControlNode(
        node(folder, "core-0", address),
        DocumentReader(),
        BootClock(),
        DecisionLog("h", -1),
    )
    return control.group.rng


async def router_generator(folder: Path, address: str) -> random.Random:
    router = RouterNode(
        node(folder, "side-0", address),
        HEADER_NAMES,
        DocumentReader(),
        None,
        BootClock(),
        DecisionLog("h", -1),
    )
    return router.rng


@pytest.mark.parametrize("create", [control_generator, router_generator])
def test_hosts_that_start_together_draw_different_numbers(
    create: Callable[[Path, str], Awaitable[random.Random]],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against control hosts that never elect a leader after a power loss.

    All hosts started within a step of their clocks, drew the same election timeouts
    from it, and split the votes again and again, for 18 s on a day of the bench.
    """
    monkeypatch.setattr(time, "time_ns", lambda: 1_790_000_000_000_000_000)

    async def draw(address: str) -> set[float]:
        generator = await create(tmp_path, address)
        return {generator.random() for _ in range(DRAWS)}

    assert not asyncio.run(draw("127.0.0.41")) & asyncio.run(draw("127.0.0.42"))


def test_a_process_that_starts_again_draws_other_numbers() -> None:
    """Guards against a host that repeats the choices of its earlier process."""
    first, second = create_generator("a"), create_generator("a")
    assert first.random() != second.random()
