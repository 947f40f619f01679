"""Schema of the daemon's settings file: fields, ranges and defaults."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Final
from typing import Literal
from typing import NotRequired
from typing import TypedDict

import msgspec


if TYPE_CHECKING:
    from sassafraswharf.settings.typed_values import Defaults


Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*\Z", max_length=63)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
FilePath = Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]
Address = Annotated[str, msgspec.Meta(min_length=2, max_length=45)]


class BindSettings(TypedDict):
    """Addresses and ports that the process listens on.

    Port 0 lets the kernel select a port; it is meant for tests only.
    """

    address: Address
    public_port: Port
    internal_port: Port
    control_port: Port
    lease_port: Port
    admin_port: Port
    admin_address: Address


class ControlHostSettings(TypedDict):
    """Addresses and ports of one control host of the deployment."""

    name: Name
    zone: Name
    address: Address
    control_port: Port
    lease_port: Port
    admin_port: Port


class RouterSettings(TypedDict):
    """Limits of the router part, in bytes and seconds."""

    max_body_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=67_108_864)]
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=1_048_576)]
    header_timeout_s: Annotated[float, msgspec.Meta(ge=0.1, le=300.0)]


class ControlSettings(TypedDict):
    """Data folder of the control part, and the cells that it runs."""

    data_folder: FilePath
    cells: NotRequired[Annotated[list[Name], msgspec.Meta(min_length=1, max_length=64)]]


class Settings(TypedDict):
    """The settings of one process.

    The router part runs if ``router`` is present, the control part if
    ``control`` is present.
    """

    deployment: Name
    host: Name
    region: Name
    zone: Name
    cell: Name
    key_file: FilePath
    operator_key_file: NotRequired[FilePath]
    bind: BindSettings
    control_hosts: Annotated[
        list[ControlHostSettings], msgspec.Meta(min_length=1, max_length=64)
    ]
    router: NotRequired[RouterSettings]
    control: NotRequired[ControlSettings]
    log_level: Literal["debug", "info", "warning", "error"]


SETTINGS_DEFAULTS: Final[Defaults] = {
    BindSettings: {"admin_address": "127.0.0.1"},
    RouterSettings: {
        "max_body_bytes": 1_048_576,
        "max_header_bytes": 16_384,
        "header_timeout_s": 5.0,
    },
    Settings: {"log_level": "info"},
}
