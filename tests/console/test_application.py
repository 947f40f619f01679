from __future__ import annotations

import asyncio
import io
import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from sassafraswharf.console.admin_client import AdminClient
from sassafraswharf.console.application import COMMANDS
from sassafraswharf.console.application import run
from sassafraswharf.console.fleet_status import fetch_status
from tests.configuration.harness import document
from tests.console.stub_control import StubControl
from tests.console.stub_control import running


if TYPE_CHECKING:
    from pathlib import Path


Answers = dict[str, list[tuple[int, Any]]]
OK = [(200, {"code": 0, "message": "done", "revision": 8})]
CONFIGURATION = "/v1/configuration"
READS: Answers = {
    "GET /v1/status": [(200, {"deployment": "comhairle", "revision": 8, "hosts": []})],
    "GET /v1/configuration": [
        (200, {"revision": 8, "document": json.loads(document())})
    ],
    "GET /v1/owners": [
        (200, {"services": [{"service": "diary", "runs": [{"start": 0, "length": 9}]}]})
    ],
    "GET /v1/upstreams": [(200, {"upstreams": [{"upstream": "diary-1\x1b[2J"}]})],
    "GET /v1/audit": [(200, {"entries": [{"at": 0.0, "actor": "nour"}], "dropped": 3})],
    "GET /v1/suspects": [(200, {"suspects": [{"digest": "9f", "upstreams": ["a"]}]})],
    "GET /v1/explain": [(200, {"slot": 3, "upstream": "diary-1"})],
    "GET /v1/voters": [
        (200, {"groups": [{"group": "g", "members": [{"live": True}]}]})
    ],
}


@pytest.fixture
def key(tmp_path: Path) -> str:
    path = tmp_path / "operator.key"
    path.write_text("0123456789abcdef")
    path.chmod(0o400)
    return str(path)


def run_command(
    answers: Answers, *arguments: str, patience_s: int = 60
) -> tuple[int, StubControl]:
    async def scenario() -> tuple[int, StubControl]:
        async with running(answers) as stub:
            options = ["--admin", stub.address, "--patience", str(patience_s)]
            return await run([*arguments, *options]), stub

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("arguments", "shown"),
    [
        (["status"], "revision 8"),
        (["show"], "path 0"),
        (["show", "--document"], '"weights"'),
        (["owners"], "0-8"),
        (["upstreams"], "diary-1?[2J"),
        (["audit"], "1970-01-01 00:00:00+00:00"),
        (["suspects"], "9f"),
        (["explain", "diary", "42"], "diary-1"),
        (["voters"], "yes"),
    ],
)
def test_reads_show_a_table_or_json(
    capsys: pytest.CaptureFixture[str], arguments: list[str], shown: str
) -> None:
    """Guards against reads that scripts can't parse, and terminal control codes."""
    assert run_command(READS, *arguments)[0] == 0
    assert shown in capsys.readouterr().out
    assert run_command(READS, *arguments, "--json")[0] == 0
    assert isinstance(json.loads(capsys.readouterr().out), dict)


@pytest.mark.parametrize(
    ("arguments", "path", "body"),
    [
        (["admit", "a/b"], "/v1/upstreams/a%2Fb/admit", {}),
        (["drain", "a", "--cell", "c2"], "/v1/upstreams/a/drain?cell=c2", {}),
        (["remove", "a"], "/v1/upstreams/a/remove", {}),
        (["release", "9f"], "/v1/suspects/9f/release", {}),
        (["journal-release", "s"], "/v1/journal/release?service=s", {}),
        (
            ["voter-add", "r:1", "--group", "g"],
            "/v1/voters?group=g",
            {"action": "add", "replica": "r:1"},
        ),
        (
            ["voter-remove", "r:1", "--group", "g"],
            "/v1/voters?group=g",
            {"action": "remove", "replica": "r:1"},
        ),
    ],
)
def test_changes_carry_the_key_and_the_actor(
    key: str, arguments: list[str], path: str, body: dict[str, str]
) -> None:
    """Guards against changes that nobody can account for."""
    answers = {f"POST {path.partition('?')[0].replace('%2F', '/')}": OK}
    given = [*arguments, "--author", "nour", "--operator-key", key]
    code, stub = run_command(answers, *given)
    assert code == 0
    request = (f"POST {path}", body | {"actor": "nour"}, "Bearer 0123456789abcdef")
    assert stub.requests == [request]


def test_the_leader_is_found_by_following_421(key: str) -> None:
    """Guards against an operator who has to find the leader by hand."""

    async def scenario() -> int:
        async with running({"POST /v1/upstreams/a/admit": OK}) as leader:
            moved = (421, {"code": 5001, "message": "no", "leader": leader.address})
            waiting = (421, {"code": 5001, "message": "no", "leader": None})
            answers = {"POST /v1/upstreams/a/admit": [waiting, moved]}
            async with running(answers) as stub:
                options = ["--admin", stub.address, "--operator-key", key]
                return await run(["admit", "a", *options])

    assert asyncio.run(scenario()) == 0


def test_a_lost_answer_is_asked_for_with_the_same_id(key: str, tmp_path: Path) -> None:
    """Guards against a change that is applied twice because its answer was lost."""
    file = tmp_path / "deployment.json"
    file.write_bytes(document())
    lost = [(0, {}), (504, {"code": 5002, "message": "unknown"}), *OK]
    answers = {f"POST {CONFIGURATION}": lost, **READS}
    code, stub = run_command(answers, "apply", str(file), "--operator-key", key)
    assert code == 0
    bodies = [body for _, body, _ in stub.requests if body]
    assert len(bodies) == 3
    assert bodies[0] == bodies[1] == bodies[2]
    assert bodies[0]["base_revision"] == 8


def test_a_change_that_may_have_run_is_not_sent_again(key: str) -> None:
    """Guards against a voter change that is made twice."""
    answers = {"POST /v1/voters": [(504, {"code": 5002, "message": "unknown"}), *OK]}
    arguments = ["voter-add", "r:1", "--group", "g", "--operator-key", key]
    code, stub = run_command(answers, *arguments)
    assert (code, len(stub.requests)) == (3, 1)


@pytest.mark.parametrize(
    ("revisions", "leads", "exit_code", "shown"),
    [
        ([7, 8], True, 0, "all 1 live hosts"),
        ([7], True, 4, "host dub-a-1 (revision 7)"),
        ([8], False, 4, "cell c1 (its leader is unknown)"),
    ],
)
def test_wait_names_the_hosts_that_are_behind(
    key: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    revisions: list[int],
    leads: bool,
    exit_code: int,
    shown: str,
) -> None:
    """Guards against a success that is reported while a host is behind."""
    file = tmp_path / "deployment.json"
    file.write_bytes(document())

    async def scenario() -> int:
        answers: Answers = {f"POST {CONFIGURATION}": OK, "GET /v1/status": []}
        async with running(answers) as stub:
            cell = {"cell": "c1", "leader": stub.address if leads else None}
            dead = {"host": "dub-b-1", "cell": "c1", "live": False, "revision": 1}
            for revision in revisions:
                host = {"host": "dub-a-1", "cell": "c1", "live": True}
                hosts = [host | {"revision": revision}, dead]
                answer = (200, {"revision": 8, "cells": [cell], "hosts": hosts})
                answers["GET /v1/status"] += [answer, answer]
            options = ["--admin", stub.address, "--operator-key", key, "--base", "7"]
            wait_s = "60" if exit_code == 0 else "0"
            return await run(
                ["apply", str(file), "--wait", "--wait-s", wait_s, *options]
            )

    assert asyncio.run(scenario()) == exit_code
    printed = capsys.readouterr()
    assert shown in printed.out + printed.err


@pytest.mark.parametrize(
    ("leads", "live", "behind"),
    [(True, True, []), (False, True, ["cell c1"]), (True, False, ["the who"])],
)
def test_only_the_leader_of_a_cell_speaks_for_it(
    leads: bool, live: bool, behind: list[str]
) -> None:
    """Guards against a deposed leader whose short list of hosts looks complete."""
    hosts = [{"host": "dub-a-1", "cell": "c1", "live": live, "revision": 8}]

    async def scenario() -> list[str]:
        answers: Answers = {"GET /v1/status": []}
        async with running(answers) as stub:
            for leader in (stub.address, stub.address if leads else None):
                cell = {"cell": "c1", "leader": leader}
                answers["GET /v1/status"].append(
                    (200, {"cells": [cell], "hosts": hosts})
                )
            async with AdminClient([stub.address]) as client:
                return (await fetch_status(client)).unwrap().lagging(8)

    assert [name[:7] for name in asyncio.run(scenario())] == behind


@pytest.mark.parametrize(
    ("status", "answer", "exit_code", "shown"),
    [
        (409, {"code": 2001, "message": "x won"}, 1, "next: run `sassafraswharf show`"),
        (401, {"code": 6005, "message": "no"}, 1, "next: pass --operator-key"),
        (503, {"code": 2004, "message": "no leader"}, 3, "next: run"),
        (500, "text", 1, "is it an admin port?"),
    ],
)
def test_a_refusal_says_what_to_do_next(
    key: str,
    capsys: pytest.CaptureFixture[str],
    status: int,
    answer: object,
    exit_code: int,
    shown: str,
) -> None:
    """Guards against a refusal that leaves the operator without a next step."""
    answers = {"POST /v1/upstreams/a/drain": [(status, answer)]}
    given = ["drain", "a", "--operator-key", key]
    assert run_command(answers, *given, patience_s=0)[0] == exit_code
    assert shown in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [
        (["status", "--patience", "0"], 3),
        (["status", "--admin", "127.0.0.1:1", "--patience", "0"], 3),
        (["drain", "a", "--admin", "127.0.0.1:1"], 1),
        (["drain"], 2),
        (["statsu"], 2),
        (["check", "/absent"], 1),
        (["apply", "/absent"], 1),
    ],
)
def test_exit_codes(
    monkeypatch: pytest.MonkeyPatch, arguments: list[str], exit_code: int
) -> None:
    """Guards against scripts that take a failure for a success."""
    monkeypatch.delenv("SASSAFRASWHARF_SETTINGS", raising=False)
    assert asyncio.run(run(arguments)) == exit_code


@pytest.mark.parametrize(
    "arguments",
    [["check", "-"], ["apply", "-", "--base", "7"], ["apply", "--base", "7", "-"]],
)
def test_standard_input_is_read(
    key: str, monkeypatch: pytest.MonkeyPatch, arguments: list[str]
) -> None:
    """Guards against a lone hyphen that is taken for an unknown option."""
    monkeypatch.setattr("sys.stdin", io.StringIO(document().decode()))
    if arguments[0] == "check":
        assert asyncio.run(run(arguments)) == 0
        return
    given = [*arguments, "--operator-key", key]
    code, stub = run_command({f"POST {CONFIGURATION}": OK}, *given)
    assert (code, stub.requests[0][1]["base_revision"]) == (0, 7)


def test_check_accepts_a_configuration(tmp_path: Path) -> None:
    """Guards against a check that can't tell the two kinds of file apart."""
    file = tmp_path / "file"
    file.write_bytes(document())
    assert asyncio.run(run(["check", str(file)])) == 0
    file.write_text('{"host": 1}')
    assert asyncio.run(run(["check", str(file)])) == 1


@pytest.mark.parametrize("name", [command[0] for command in COMMANDS])
def test_help_has_examples(capsys: pytest.CaptureFixture[str], name: str) -> None:
    """Guards against a command whose help does not show how to use it."""
    assert asyncio.run(run([name, "--help"])) == 0
    printed = capsys.readouterr().out
    assert f"sassafraswharf {name}" in printed or f"| sassafraswharf {name}" in printed
    assert "Exit codes" in printed
