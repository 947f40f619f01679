"""Command line options that select and authenticate to a deployment."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import Final
from typing import TypedDict

from cyclopts import Parameter
from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.console.admin_client import AdminClient
from sassafraswharf.console.refusal import Refusal
from sassafraswharf.settings.key_file import read_key
from sassafraswharf.settings.loader import parse_settings


DEFAULT_SETTINGS: Final = Path("/etc/sassafraswharf/settings.json5")
DEFAULT_PATIENCE_S: Final = 5.0


@Parameter(name="*")
class Connection(TypedDict, total=False):
    """Where the control hosts are and how to authenticate to them."""

    admin: Annotated[
        tuple[str, ...],
        Parameter(
            negative="",
            env_var="SASSAFRASWHARF_ADMIN",
            help="Admin ADDRESS:PORT of any control host; may be repeated.",
        ),
    ]
    settings: Annotated[
        Path,
        Parameter(
            env_var="SASSAFRASWHARF_SETTINGS",
            help="Settings file that names the control hosts and the operator key; "
            f"{DEFAULT_SETTINGS} if it exists.",
        ),
    ]
    operator_key: Annotated[
        Path,
        Parameter(
            env_var="SASSAFRASWHARF_OPERATOR_KEY_FILE",
            help="Key file for changes, readable by its owner only.",
        ),
    ]
    patience_s: Annotated[
        float,
        Parameter(
            name="--patience",
            help="Seconds to look for a leader that answers; "
            f"{DEFAULT_PATIENCE_S:g} by default.",
        ),
    ]


NO_OPTIONS: Final[Connection] = {}


def open_client(
    connection: Connection, *, with_key: bool
) -> Result[AdminClient, Refusal]:
    """Return a client for the options; only changes need the operator key."""
    found = _addresses_and_key_file(connection, with_key=with_key)
    if isinstance(found, Err):
        return found
    addresses, key_file = found.ok_value
    if not addresses:
        reason = "no control host is known"
        return Err(Refusal(ResultCode.PEER_UNREACHABLE, reason, {}))
    patience_s = connection.get("patience_s", DEFAULT_PATIENCE_S)
    if not with_key:
        return Ok(AdminClient(addresses, None, patience_s))
    if key_file is None:
        reason = "a change needs the operator key"
        return Err(Refusal(ResultCode.OPERATOR_UNAUTHENTICATED, reason, {}))
    key = read_key(key_file)
    if isinstance(key, Err):
        return Err(Refusal(key.err_value.code, key.err_value.message, {}))
    operator_key = key.ok_value.decode("latin-1")
    return Ok(AdminClient(addresses, operator_key, patience_s))


def _addresses_and_key_file(
    connection: Connection, *, with_key: bool
) -> Result[tuple[tuple[str, ...], Path | None], Refusal]:
    """Return the addresses and the key file, from the settings where needed."""
    admin = connection.get("admin", ())
    operator_key = connection.get("operator_key")
    path = connection.get("settings")
    if path is None and DEFAULT_SETTINGS.exists():
        path = DEFAULT_SETTINGS
    is_complete = admin and (operator_key or not with_key)
    if path is None or is_complete:
        return Ok((admin, operator_key))
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(Refusal(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}", {}))
    parsed = parse_settings(text, path)
    if isinstance(parsed, Err):
        return Err(Refusal(parsed.err_value.code, parsed.err_value.message, {}))
    settings = parsed.ok_value
    hosts = settings["control_hosts"]
    listed = tuple(_address(host["address"], host["admin_port"]) for host in hosts)
    own_key = settings.get("operator_key_file")
    key_file = operator_key or (Path(own_key) if own_key else None)
    return Ok((admin or listed, key_file))


def _address(address: str, port: int) -> str:
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
