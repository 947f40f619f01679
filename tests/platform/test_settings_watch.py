"""Reload of settings that change while a process runs."""

from __future__ import annotations

import asyncio
import json
import sys

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from sassafraswharf.observability.decision_log import DecisionLog
from sassafraswharf.platform import main
from sassafraswharf.platform import names
from sassafraswharf.settings.node_loader import load_node
from tests.settings.test_node_loader import rendered


if TYPE_CHECKING:
    from sassafraswharf.settings.node_schema import Node


CHECK_S = 0.02
HOST = "side-0"


def put(path: Path, content: bytes | None) -> None:
    if content is None:
        path.unlink()
    else:
        path.write_bytes(content)


def seeds_with(odd: object) -> bytes:
    """Return settings with one odd entry among the seeds."""
    settings = rendered(Path(), HOST)
    settings["control_seeds"].append(odd)
    return json.dumps(settings).encode()


async def change(path: Path, contents: list[bytes | None]) -> list[Node]:
    """Return the settings that are applied while the file gets each content in turn."""
    taken: list[Node] = []
    node = load_node(path).unwrap()
    log = DecisionLog(HOST, -1)
    watching = asyncio.create_task(main.watch_settings(node, log, taken.append))
    for content in contents:
        put(path, content)
        await asyncio.sleep(5 * CHECK_S)
    watching.cancel()
    await asyncio.wait([watching])
    return taken


@pytest.mark.parametrize("has_json5", [True, False])
@pytest.mark.parametrize(
    "broken",
    [
        pytest.param([b'{"host": "sid'], id="half"),
        pytest.param([b""], id="empty"),
        pytest.param([b"\xff\xfe"], id="no text"),
        pytest.param([b"[]", b"{}"], id="other values"),
        pytest.param([None], id="no file"),
        pytest.param([b'{"host"', None, b"{", b"null"], id="several"),
        pytest.param([b"[" * 100_000], id="nested deeply"),
        pytest.param([b'{"host":' + b"9" * 5_000 + b"}"], id="a long number"),
        pytest.param([seeds_with("10.0.0.1:65536")], id="a port out of range"),
        pytest.param([seeds_with("10.0.0.1:" + "9" * 5_000)], id="a long port"),
        pytest.param([seeds_with(10**400)], id="a seed that is a number"),
        pytest.param([seeds_with([[[]]])], id="a nested seed"),
    ],
)
def test_settings_that_were_broken_for_a_moment_are_followed_again(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    broken: list[bytes | None],
    has_json5: bool,
) -> None:
    """Guards against a reload that stops for good after an unreadable file.

    The router then never learns its new service and seeds. A file that is read
    during a write is not valid JSON. The loader then tries ``json5``, which isn't
    installed on the provider's machines.
    """
    monkeypatch.setattr(main, "SETTINGS_POLL_INTERVAL_S", CHECK_S)
    path = tmp_path / "settings.json"
    monkeypatch.setenv(names.SETTINGS_VARIABLE, str(path))
    if not has_json5:
        monkeypatch.setitem(sys.modules, "json5", None)
    document = rendered(tmp_path, HOST)
    path.write_text(json.dumps(document))
    document["upstream"]["service"] = "booking"
    changed = json.dumps(document).encode()
    taken = asyncio.run(change(path, [*broken, changed]))
    assert [one.upstream and one.upstream["service"] for one in taken] == ["booking"]
