"""Settings of a process on the provider's machines, rendered and refused."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from sassafraswharf.console.commands.check import check
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.settings.node_loader import parse_node
from sassafraswharf_bench.provider.machines import ROOT
from sassafraswharf_bench.provider.machines import Machines
from sassafraswharf_bench.provider.template import render


if TYPE_CHECKING:
    from pathlib import Path


def rendered(folder: Path, name: str) -> dict[str, Any]:
    machines = Machines(folder, ["diary"])
    template = (ROOT / "deploy" / "node.json").read_text()
    fields = machines.settings_fields(machines.machine(name))
    document: dict[str, Any] = json.loads(render(template, fields))
    return document


@pytest.mark.parametrize("name", ["core-0", "side-0"])
def test_the_rendered_template_is_accepted(tmp_path: Path, name: str) -> None:
    """Guards against a template that renders settings which are refused."""
    document = rendered(tmp_path, name)
    node = parse_node(json.dumps(document), tmp_path).unwrap()
    assert node.terms.heartbeat_s == 0.3
    assert (node.data_folder is None) == (name == "side-0")
    assert (node.listen.callers is None) == (name == "core-0")
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    assert check(str(path)) == ExitCode.DONE


@pytest.mark.parametrize(
    ("grants", "by_call"), [("call", True), ("heartbeat", False), (None, False)]
)
def test_the_settings_say_how_keys_are_granted(
    tmp_path: Path, grants: str | None, by_call: bool
) -> None:
    """Guards against grants that the upstream never reads (421 for each key)."""
    document = {**rendered(tmp_path, "side-0"), "grants": grants}
    assert parse_node(json.dumps(document), tmp_path).unwrap().grants_by_call is by_call


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (["host"], 7, "host"),
        (["listen", "control"], "here", "listen.control"),
        (["control_seeds", 1], "10.0.0.1", "control_seeds[1]"),
        (["terms", "grace"], "soon", "terms.grace"),
        (["peer_ports"], [7600], "peer_ports"),
        (["metrics_port"], 70_000, "metrics_port"),
        (["unknown"], 1, "unknown"),
        (["grants"], "by hand", "grants"),
    ],
)
def test_a_refusal_names_the_field(
    tmp_path: Path, path: list[str | int], value: object, named: str
) -> None:
    """Guards against an error that leaves operators searching."""
    document = rendered(tmp_path, "side-0")
    place: Any = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    refused = parse_node(json.dumps(document), tmp_path)
    assert named in refused.unwrap_err().message
