from __future__ import annotations

import json
import runpy

from pathlib import Path
from typing import Any

import pytest

from sassafraswharf.configuration.validation import check_document
from sassafraswharf.settings.loader import parse_settings


EXAMPLES = Path(__file__).parent.parent / "examples"
SCRIPT: dict[str, Any] = runpy.run_path(str(EXAMPLES / "generate_hosts.py"))
FILES: dict[str, str] = {
    name: text
    for deployment in SCRIPT["DEPLOYMENTS"]
    for name, text in SCRIPT["files_of"](deployment).items()
}


def committed() -> set[str]:
    files = {*EXAMPLES.glob("*/hosts/*"), *EXAMPLES.glob("*/endpoints.json")}
    return {str(path.relative_to(EXAMPLES)) for path in files}


@pytest.mark.parametrize("name", sorted(FILES.keys() | committed()))
def test_the_committed_file_is_the_generated_one(name: str) -> None:
    """Guards against example files that differ from the script that writes them."""
    assert (EXAMPLES / name).read_text() == FILES[name]


@pytest.mark.parametrize("name", sorted(name for name in FILES if "hosts" in name))
def test_each_host_has_acceptable_settings(name: str) -> None:
    """Guards against examples that the daemon would refuse."""
    path = EXAMPLES / name
    settings = parse_settings(path.read_text(), path).unwrap()
    assert settings["host"] == path.stem
    assert len({host["zone"] for host in settings["control_hosts"]}) == 3


@pytest.mark.parametrize("name", ["comhairle", "nilebridge"])
def test_the_configuration_is_acceptable(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a declaration whose services have no endpoint."""
    runpy.run_path(str(EXAMPLES / name / "deployment.py"), run_name="__main__")
    document = check_document(json.loads(capsys.readouterr().out)).unwrap()
    endpoints = json.loads((EXAMPLES / name / "endpoints.json").read_text())
    served = {endpoint["service"] for endpoint in endpoints}
    assert {service["name"] for service in document["services"]} == served
