"""Loads and validates the settings of a daemon; failures carry a numbered code."""

from __future__ import annotations

import ipaddress

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.settings.document import parse_document
from sassafraswharf.settings.key_file import read_key
from sassafraswharf.settings.schema import SETTINGS_DEFAULTS
from sassafraswharf.settings.schema import Settings
from sassafraswharf.settings.typed_values import Problem
from sassafraswharf.settings.typed_values import ProblemKind
from sassafraswharf.settings.typed_values import check_typed


if TYPE_CHECKING:
    from collections.abc import Iterator


_CODE_BY_PROBLEM: Final = {
    ProblemKind.UNKNOWN_FIELD: ResultCode.SETTINGS_UNKNOWN_FIELD,
    ProblemKind.INVALID_VALUE: ResultCode.SETTINGS_INVALID_VALUE,
    ProblemKind.MISSING_FIELD: ResultCode.SETTINGS_MISSING_FIELD,
}
RESERVED_GROUP: Final = "configuration"
_TCP_PORTS: Final = ("public_port", "internal_port", "control_port", "admin_port")


def load_settings(path: Path) -> Result[Settings, Failure]:
    """Return the checked settings of a file with defaults filled in.

    Relative paths in the file are resolved against its folder. The key
    files are checked too. Failures have codes 1001 to 1005.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"))
    checked = parse_settings(text, path)
    if isinstance(checked, Err):
        return checked
    for key_file in _key_files(checked.ok_value):
        key = read_key(key_file)
        if isinstance(key, Err):
            return key
    return checked


def parse_settings(text: str, path: Path) -> Result[Settings, Failure]:
    """Check the text of a settings file without reading its key files."""
    document = parse_document(text)
    if isinstance(document, Err):
        reason = f"{path}: {document.err_value}"
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, reason))
    checked = check_typed(document.ok_value, Settings, SETTINGS_DEFAULTS)
    if isinstance(checked, Err):
        return _refusal(path, checked.err_value)
    settings = checked.ok_value
    for problem in _problems(settings):
        return _refusal(path, problem)
    return Ok(_with_absolute_paths(settings, path.absolute().parent))


def _refusal(path: Path, problem: Problem) -> Err[Failure]:
    return Err(Failure(_CODE_BY_PROBLEM[problem.kind], f"{path}: {problem}"))


def _problems(settings: Settings) -> Iterator[Problem]:
    """Yield violations of the rules that the types can't express."""
    yield from _address_problems(settings)
    yield from _port_problems(settings)
    yield from _control_host_problems(settings)
    yield from _cell_problems(settings)
    if "router" not in settings and "control" not in settings:
        reason = "set router, control or both; this process would run nothing"
        yield Problem(ProblemKind.MISSING_FIELD, "router", reason)
    if "control" in settings and "operator_key_file" not in settings:
        reason = "required field is missing; the control part needs it"
        yield Problem(ProblemKind.MISSING_FIELD, "operator_key_file", reason)


def _address_problems(settings: Settings) -> Iterator[Problem]:
    bind = settings["bind"]
    addresses = {
        "bind.address": bind["address"],
        "bind.admin_address": bind["admin_address"],
    }
    for position, host in enumerate(settings["control_hosts"]):
        addresses[f"control_hosts[{position}].address"] = host["address"]
    for field, address in addresses.items():
        try:
            ipaddress.ip_address(address)
        except ValueError:
            reason = f"{address!r} is not an IP address"
            yield Problem(ProblemKind.INVALID_VALUE, field, reason)


def _port_problems(settings: Settings) -> Iterator[Problem]:
    ports: dict[int, str] = {}
    for field in _TCP_PORTS:
        port: int = settings["bind"][field]
        if port and port in ports:
            reason = f"port {port} is already used by {ports[port]}"
            yield Problem(ProblemKind.INVALID_VALUE, f"bind.{field}", reason)
        ports[port] = field


def _control_host_problems(settings: Settings) -> Iterator[Problem]:
    names: set[str] = set()
    for position, host in enumerate(settings["control_hosts"]):
        if host["name"] in names:
            reason = f"{host['name']!r} is listed twice"
            field = f"control_hosts[{position}].name"
            yield Problem(ProblemKind.INVALID_VALUE, field, reason)
        names.add(host["name"])
    if "control" in settings and settings["host"] not in names:
        reason = f"{settings['host']!r} runs the control part but is not listed"
        yield Problem(ProblemKind.INVALID_VALUE, "control_hosts", reason)


def _cell_problems(settings: Settings) -> Iterator[Problem]:
    names: set[str] = set()
    if "control" not in settings:
        return
    for position, name in enumerate(settings["control"].get("cells", ())):
        field = f"control.cells[{position}]"
        if name in names:
            yield Problem(ProblemKind.INVALID_VALUE, field, f"{name!r} is listed twice")
        if name == RESERVED_GROUP:
            reason = f"{name!r} is the group of the configuration"
            yield Problem(ProblemKind.INVALID_VALUE, field, reason)
        names.add(name)


def _with_absolute_paths(settings: Settings, folder: Path) -> Settings:
    settings["key_file"] = str(folder / settings["key_file"])
    if "operator_key_file" in settings:
        settings["operator_key_file"] = str(folder / settings["operator_key_file"])
    if "control" in settings:
        control = settings["control"]
        control["data_folder"] = str(folder / control["data_folder"])
        control.setdefault("cells", [settings["cell"]])
    return settings


def _key_files(settings: Settings) -> Iterator[Path]:
    yield Path(settings["key_file"])
    if "operator_key_file" in settings:
        yield Path(settings["operator_key_file"])
