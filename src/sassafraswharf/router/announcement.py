"""The announcement that an upstream sends to the router on its host."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING
from typing import Annotated
from typing import NotRequired
from typing import TypedDict

import msgspec

from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from result import Result


Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*\Z", max_length=63)]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}\Z", max_length=64)
]
MAX_ANNOUNCEMENT_BYTES = 4_096
MAX_PORT = 65_535


class Announcement(TypedDict):
    """The properties that an upstream declares about itself.

    ``slots`` is the number of requests it processes concurrently. ``speed`` is
    relative to other upstreams; the actual speed is measured. ``checks_grants`` is
    set if it refuses requests of an older epoch. ``incarnation`` must increase with
    each start of its process, for example the start time. ``leaving`` requests a
    drain because the process is about to stop; this can't be revoked within an
    incarnation.
    """

    upstream: Name
    service: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    checks_grants: bool
    incarnation: Annotated[int, msgspec.Meta(ge=1, le=2**53 - 1)]
    speed: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
    leaving: NotRequired[bool]


def read_announcement(body: bytes) -> Result[Announcement, Failure]:
    """Return the announcement, or code 3001 with the invalid field."""
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.BAD_REQUEST, f"announcement: {error}"))
    address = announcement["address"]
    if not is_socket_address(address):
        message = f"announcement: {address!r} is not an IP address with a port"
        return Err(Failure(ResultCode.BAD_REQUEST, message))
    return Ok(announcement)


def is_socket_address(text: str) -> bool:
    """Return whether the text is a valid ``ip:port`` or ``[ip]:port``.

    >>> is_socket_address("10.0.0.1:8080"), is_socket_address("[::1]:8080")
    (True, True)
    >>> is_socket_address("10.0.0.1:70000"), is_socket_address("::1:8080")
    (False, False)
    """
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return is_bracketed == (address.version == 6) and 0 < int(port) <= MAX_PORT
