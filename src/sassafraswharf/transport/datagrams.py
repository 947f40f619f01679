"""Lease messages between hosts and control hosts over UDP."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from result import Err

from sassafraswharf.codes import ResultCode
from sassafraswharf.exceptions import TransportError
from sassafraswharf.failure import Failure
from sassafraswharf.transport.envelope import Channel


if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafraswharf.transport.authenticator import Authenticator
    from sassafraswharf.transport.envelope import Envelope
    from sassafraswharf.transport.envelope import MessageKind

    Address = tuple[str, int]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """An authenticated UDP socket.

    The handler is called in the event loop for each accepted datagram, without
    a task of its own: a lease renewal costs tens of microseconds and a task
    would double that.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        handler: Callable[[Envelope, Address], None],
        on_dropped: Callable[[Failure], None],
    ) -> None:
        """Create an endpoint that is not yet bound."""
        self.authenticator = authenticator
        self.handler = handler
        self.on_dropped = on_dropped
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str, port: int) -> int:
        """Bind and return the port; raises ``TransportError`` when it can't."""
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(address, port)
            )
        except OSError as error:
            raise TransportError(
                Failure(
                    ResultCode.PEER_UNREACHABLE,
                    f"can't bind UDP port {address}:{port}: {error}",
                )
            ) from error
        self.transport = transport
        return int(transport.get_extra_info("sockname")[1])

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def send(
        self, address: Address, recipient: str, kind: MessageKind, body: bytes
    ) -> None:
        """Send one datagram; it may be lost."""
        if self.transport is None:
            return
        sealed = self.authenticator.seal(Channel.LEASE, kind, recipient, body)
        if isinstance(sealed, Err):
            self.on_dropped(sealed.err_value)
            return
        self.transport.sendto(sealed.ok_value, address)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Authenticate one datagram and pass it on."""
        opened = self.authenticator.open(Channel.LEASE, data)
        if isinstance(opened, Err):
            self.on_dropped(opened.err_value)
            return
        self.handler(opened.ok_value, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a host that is down is detected by its lease."""
