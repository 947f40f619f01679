"""Traces of one request from several log files."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING

import pytest

from sassafraswharf.console.commands.trace import trace
from sassafraswharf.console.exit_codes import ExitCode


if TYPE_CHECKING:
    from pathlib import Path


LINES = {
    "side-1.log": [
        {
            "time": 5.2,
            "host": "side-1",
            "kind": "failed",
            "request": "a1",
            "code": 3103,
        },
        {
            "time": 5.0,
            "host": "side-1",
            "kind": "failed",
            "request": "b2",
            "code": 3105,
        },
    ],
    "side-2.log": [
        {"time": 5.1, "host": "side-2", "kind": "rejected", "request": "a1"},
        {"time": 5.15, "host": "side-2", "kind": "failed", "request": "a1.7f"},
    ],
    "core-1.log": [
        {"time": 4.5, "host": "core-1", "kind": "leadership", "leads": True},
        {"time": 1.0, "host": "core-1", "kind": "leadership", "leads": False},
    ],
}


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    paths = []
    for name, lines in LINES.items():
        path = tmp_path / name
        texts = [f"  -1.0 prefix {json.dumps(line)}" for line in lines]
        path.write_text("\n".join(["plain text", *texts, "{broken"]) + "\n")
        paths.append(str(path))
    return paths


@pytest.mark.parametrize(
    ("around", "kinds"),
    [
        (0.0, ["rejected", "failed", "failed"]),
        (1.0, ["leadership", "rejected", "failed", "failed"]),
    ],
)
def test_a_trace_is_ordered_by_time(
    files: list[str],
    capsys: pytest.CaptureFixture[str],
    around: float,
    kinds: list[str],
) -> None:
    """Guards against lines of one process that hide those of another."""
    code = trace("a1", *files, around=around, as_json=True)
    printed = capsys.readouterr()
    assert code == ExitCode.DONE
    assert [one["kind"] for one in json.loads(printed.out)["lines"]] == kinds
    assert "side-1.log:4: the line is not JSON" in printed.err


@pytest.mark.parametrize(
    ("request_id", "names", "code"),
    [("zz", ["side-1.log"], ExitCode.REFUSED), ("a1", [], ExitCode.USAGE)],
)
def test_what_can_not_be_shown_is_an_error(
    files: list[str], request_id: str, names: list[str], code: int
) -> None:
    """Guards against an empty trace that looks like a result."""
    chosen = [path for path in files if any(path.endswith(name) for name in names)]
    assert trace(request_id, *chosen) == code
