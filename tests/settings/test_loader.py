from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from sassafraswharf.settings.loader import load_settings


if TYPE_CHECKING:
    from pathlib import Path


KEY = "0123456789abcdef0123456789abcdef"


def valid() -> dict[str, Any]:
    ports = {"control_port": 7102, "lease_port": 7103, "admin_port": 7104}
    peer = {"name": "dub-a-1", "zone": "dub-a", "address": "10.0.0.1", **ports}
    return {
        "deployment": "comhairle",
        "host": "dub-a-1",
        "region": "eu-west-dub",
        "zone": "dub-a",
        "cell": "cell-1",
        "key_file": "deployment.key",
        "operator_key_file": "operator.key",
        "bind": {
            "address": "10.0.0.1",
            "public_port": 7100,
            "internal_port": 7101,
            **ports,
        },
        "control_hosts": [peer],
        "router": {},
        "control": {"data_folder": "data"},
    }


def write(folder: Path, document: object, mode: int = 0o400) -> Path:
    for name in ("deployment.key", "operator.key"):
        (folder / name).write_text(KEY + "\n")
        (folder / name).chmod(mode)
    path = folder / "settings.json5"
    text = document if isinstance(document, str) else json.dumps(document)
    path.write_text(text)
    return path


def test_defaults_are_filled_in_and_paths_made_absolute(tmp_path: Path) -> None:
    """Guards against a part that starts without a limit it relies on."""
    text = "// comment\n" + json.dumps(valid())
    settings = load_settings(write(tmp_path, text)).unwrap()
    assert settings["bind"]["admin_address"] == "127.0.0.1"
    assert settings["router"]["header_timeout_s"] == 5.0
    assert settings["log_level"] == "info"
    assert settings["control"]["data_folder"] == str(tmp_path / "data")
    assert settings["control"]["cells"] == [settings["cell"]]


def change(path: str, value: object = ...) -> dict[str, Any]:
    document: Any = valid()
    target = document
    *parents, last = [int(part) if part.isdigit() else part for part in path.split("/")]
    for part in parents:
        target = target[part]
    if value is ...:
        del target[last]
    else:
        target[last] = value
    return document


@pytest.mark.parametrize(
    ("document", "code", "path"),
    [
        ("{", 1001, ""),
        ('{"host": "a", "host": "b"}', 1001, "host"),
        ([], 1003, "document"),
        (change("bind/colour", 1), 1002, "bind.colour"),
        (change("control_hosts/0/port", 1), 1002, "control_hosts[0].port"),
        (change("bind/public_port", "80"), 1003, "bind.public_port"),
        (change("bind/public_port", 65_536), 1003, "bind.public_port"),
        (change("bind/public_port", True), 1003, "bind.public_port"),
        (change("bind/internal_port", 7100), 1003, "bind.internal_port"),
        (change("bind/address", "localhost"), 1003, "bind.address"),
        (change("control_hosts/0/address", "x.y"), 1003, "control_hosts[0].address"),
        (change("router/header_timeout_s", float("nan")), 1003, "header_timeout_s"),
        (change("control_hosts", []), 1003, "control_hosts"),
        (change("control_hosts/0/name", "other"), 1003, "control_hosts"),
        (change("control_hosts", valid()["control_hosts"] * 2), 1003, "[1].name"),
        (change("control/cells", ["c", "c"]), 1003, "control.cells[1]"),
        (change("control/cells", ["configuration"]), 1003, "control.cells[0]"),
        (change("control/cells", []), 1003, "control.cells"),
        (change("log_level", "loud"), 1003, "log_level"),
        (change("host", "Upper case"), 1003, "host"),
        (change("bind/lease_port"), 1004, "bind.lease_port"),
        (change("zone"), 1004, "zone"),
        (change("operator_key_file"), 1004, "operator_key_file"),
    ],
)
def test_a_refusal_names_the_field(
    tmp_path: Path, document: object, code: int, path: str
) -> None:
    """Guards against settings that fail only after a socket is open."""
    failure = load_settings(write(tmp_path, document)).unwrap_err()
    assert failure.code == code
    assert path in failure.message


def test_a_process_without_a_part_is_refused(tmp_path: Path) -> None:
    """Guards against a daemon that starts and serves nothing."""
    document = valid()
    del document["router"]
    del document["control"]
    assert load_settings(write(tmp_path, document)).unwrap_err().code == 1004


@pytest.mark.parametrize("mode", [0o440, 0o404, 0o644, 0o420])
def test_a_key_that_others_can_access_is_refused(tmp_path: Path, mode: int) -> None:
    """Guards against a shared key that any user of the host can read."""
    failure = load_settings(write(tmp_path, valid(), mode)).unwrap_err()
    assert failure.code == 1005


@pytest.mark.parametrize("content", ["", "short", "x" * 65])
def test_an_unusable_key_is_refused(tmp_path: Path, content: str) -> None:
    """Guards against an empty key, or one that keyed BLAKE2b can't take."""
    path = write(tmp_path, valid(), 0o600)
    (tmp_path / "operator.key").write_text(content)
    assert load_settings(path).unwrap_err().code == 1005


def test_a_missing_key_or_file_is_refused(tmp_path: Path) -> None:
    """Guards against a stack trace instead of a numbered code."""
    path = write(tmp_path, valid())
    (tmp_path / "deployment.key").unlink()
    assert load_settings(path).unwrap_err().code == 1005
    assert load_settings(tmp_path / "absent").unwrap_err().code == 1001
