"""Loads and validates the settings of a process that discovers others by seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.settings.document import parse_document
from sassafraswharf.settings.durations import parse_duration
from sassafraswharf.settings.node_schema import TERM_FIELDS
from sassafraswharf.settings.node_schema import Listen
from sassafraswharf.settings.node_schema import ListenSettings
from sassafraswharf.settings.node_schema import Node
from sassafraswharf.settings.node_schema import NodeSettings
from sassafraswharf.settings.node_schema import Terms
from sassafraswharf.settings.node_schema import TermsSettings
from sassafraswharf.settings.typed_values import check_typed


if TYPE_CHECKING:
    from pathlib import Path


MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def load_node(path: Path) -> Result[Node, Failure]:
    """Return the checked settings of a file; failures are 1001 and 1003."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}"))
    return parse_node(text, path)


def parse_node(text: str, path: Path) -> Result[Node, Failure]:
    """Check the text of a settings file; failures are 1001 and 1003."""
    document = parse_document(text)
    if isinstance(document, Err):
        reason = f"{path}: {document.err_value}"
        return Err(Failure(ResultCode.SETTINGS_UNREADABLE, reason))
    checked = check_typed(document.ok_value, NodeSettings, {})
    if isinstance(checked, Err):
        reason = f"{path}: {checked.err_value}"
        return Err(Failure(ResultCode.SETTINGS_INVALID_VALUE, reason))
    return build_node(checked.ok_value).map_err(
        lambda reason: Failure(ResultCode.SETTINGS_INVALID_VALUE, f"{path}: {reason}")
    )


def build_node(settings: NodeSettings) -> Result[Node, str]:
    """Parse the addresses and durations of checked settings."""
    try:
        listen = read_listen(settings["listen"])
        seeds = tuple(
            parse_address_field(f"control_seeds[{position}]", text)
            for position, text in enumerate(settings["control_seeds"])
        )
        terms = read_terms(settings["terms"])
    except ValueError as error:
        return Err(str(error))
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
            seeds,
            first,
            last,
            listen,
            settings.get("metrics_port", 0),
            settings["tolerated_hosts"],
            terms,
            settings.get("grants") == "call",
        )
    )


def read_listen(settings: ListenSettings) -> Listen:
    """Parse the listening addresses; raises ``ValueError`` naming the field."""
    callers, readiness = settings["callers"], settings["readiness"]
    return Listen(
        parse_address_field("listen.callers", callers) if callers else None,
        parse_address_field("listen.readiness", readiness) if readiness else None,
        parse_address_field("listen.control", settings["control"]),
    )


def read_terms(settings: TermsSettings) -> Terms:
    """Parse the terms into seconds; raises ``ValueError`` naming the field."""
    values: dict[str, float] = {}
    for name, value in settings.items():
        if isinstance(value, str):
            seconds = parse_duration(value)
            if isinstance(seconds, Err):
                message = f"terms.{name}: {seconds.err_value}"
                raise ValueError(message)
            values[TERM_FIELDS[name]] = seconds.ok_value
        elif isinstance(value, int | float):
            values[TERM_FIELDS[name]] = float(value)
    return Terms(**values)


def parse_address_field(field: str, text: str) -> tuple[str, int]:
    """Parse an address; raises ``ValueError`` naming the field."""
    address = parse_address(text)
    if isinstance(address, Err):
        message = f"{field}: {address.err_value}"
        raise ValueError(message)
    return address.ok_value


def parse_address(text: str) -> Result[tuple[str, int], str]:
    """Parse ``ip:port`` into the address and the port.

    >>> parse_address("10.1.0.4:8620").unwrap()
    ('10.1.0.4', 8620)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        return Err(f"{text!r} is not an address with a port")
    return Ok((host, int(port)))
