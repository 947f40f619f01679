"""Loads the settings of a process that finds the others from seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.settings.document import parse_document
from sassafraswharf.settings.durations import parse_duration
from sassafraswharf.settings.node_schema import Node
from sassafraswharf.settings.node_schema import NodeSettings
from sassafraswharf.settings.node_schema import Terms
from sassafraswharf.settings.typed_values import check_typed


if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


HIGHEST_PORT = 65_535


def load_node(path: Path, bound_names: Mapping[str, str]) -> Result[Node, Failure]:
    """Return the checked settings of a file.

    ``bound_names`` maps the fields of ``Terms`` to their names under ``bounds``.
    A missing bound keeps its default. Failures have the codes 1001 and 1003.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"))
    document = parse_document(text)
    if isinstance(document, Err):
        reason = f"{path}: {document.err_value}"
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, reason))
    checked = check_typed(document.ok_value, NodeSettings, {})
    if isinstance(checked, Err):
        reason = f"{path}: {checked.err_value}"
        return Err(Failure(ResultCode.SETTINGS_INVALID_VALUE, reason))
    return resolve(checked.ok_value, bound_names).map_err(
        lambda reason: Failure(ResultCode.SETTINGS_INVALID_VALUE, f"{path}: {reason}")
    )


def resolve(
    settings: NodeSettings, bound_names: Mapping[str, str]
) -> Result[Node, str]:
    """Return the settings with parsed addresses and durations."""
    listen: dict[str, tuple[str, int]] = {}
    for name, text in settings["listen"].items():
        address = parse_address(text)
        if isinstance(address, Err):
            return Err(f"listen.{name}: {address.err_value}")
        listen[name] = address.ok_value
    seeds = []
    for position, text in enumerate(settings["control_seeds"]):
        address = parse_address(text)
        if isinstance(address, Err):
            return Err(f"control_seeds[{position}]: {address.err_value}")
        seeds.append(address.ok_value)
    terms = read_terms(settings, bound_names)
    if isinstance(terms, Err):
        return terms
    first, last = settings["peer_ports"]
    return Ok(
        Node(
            settings["host"],
            settings["zone"],
            settings["region"],
            settings["address"],
            settings["first_start"],
            settings.get("data_folder"),
            settings.get("upstream"),
            tuple(seeds),
            first,
            last,
            listen,
            settings.get("metrics_port", 0),
            settings["tolerated_hosts"],
            terms.ok_value,
        )
    )


def read_terms(
    settings: NodeSettings, bound_names: Mapping[str, str]
) -> Result[Terms, str]:
    """Return the terms; a bound that is not a number or duration is refused."""
    heartbeat = parse_duration(settings["heartbeat_interval"])
    if isinstance(heartbeat, Err):
        return Err(f"heartbeat_interval: {heartbeat.err_value}")
    values: dict[str, float] = {"heartbeat_s": heartbeat.ok_value}
    for field, name in bound_names.items():
        value = settings["bounds"].get(name)
        if value is None:
            continue
        if isinstance(value, str):
            seconds = parse_duration(value)
            if isinstance(seconds, Err):
                return Err(f"bounds.{name}: {seconds.err_value}")
            value = seconds.ok_value
        values[field] = float(value)
    return Ok(Terms(**values))


def parse_address(text: str) -> Result[tuple[str, int], str]:
    """Return the address and port of ``ip:port``.

    >>> parse_address("10.1.0.4:8620").unwrap()
    ('10.1.0.4', 8620)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        return Err(f"{text!r} is not an address with a port")
    return Ok((host, int(port)))
