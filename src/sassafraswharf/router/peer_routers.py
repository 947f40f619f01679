"""Signed requests to other routers over keep-alive HTTP connections."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from multidict import CIMultiDict

from sassafraswharf.requests.deadline import remaining_ms
from sassafraswharf.requests.outcome import Exchange
from sassafraswharf.router import headers
from sassafraswharf.router.http_exchange import HttpAnswer
from sassafraswharf.router.http_exchange import HttpPeer


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import MutableMapping

    from sassafraswharf.membership.values import Session
    from sassafraswharf.router.incoming import IncomingRequest
    from sassafraswharf.transport.request_signer import RequestSigner


MAX_ANSWER_BYTES: Final = 67_108_864 + 65_536
SIGNED_HEADERS: Final = (
    headers.HOP,
    headers.DEADLINE_MS,
    headers.UPSTREAM,
    headers.NESTED,
    headers.SOLO,
    headers.IDEMPOTENCY_KEY,
)


def signed_text(fields: Mapping[str, str]) -> str:
    """Return the header values that the signature of a request covers."""
    return "\n".join(fields.get(name, "") for name in SIGNED_HEADERS)


class PeerRouters:
    """The connection pools of this router to all other routers."""

    def __init__(self, signer: RequestSigner) -> None:
        """Start without connections; they are opened on demand."""
        self.signer = signer
        self.peers: dict[str, HttpPeer] = {}

    async def close(self) -> None:
        """Close all connections."""
        for peer in self.peers.values():
            await peer.close()
        self.peers.clear()

    async def retain(self, addresses: Iterable[str]) -> None:
        """Close the connections to addresses that are not in ``addresses``."""
        for address in set(self.peers).difference(addresses):
            await self.peers.pop(address).close()

    def peer(self, address: str) -> HttpPeer:
        """Return the connection pool for the internal address of a router."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = HttpPeer(address)
        return peer

    async def forward(
        self,
        request: IncomingRequest,
        session: Session,
        upstream: str,
        parent_id: str,
        now: float,
    ) -> HttpAnswer:
        """Forward a request to the router on the host of ``upstream``."""
        timeout_s = request.deadline_at - now
        if timeout_s <= 0:
            return HttpAnswer(Exchange.NOTHING_SENT)
        fields = CIMultiDict(headers.end_to_end(request.headers.items()))
        fields[headers.HOP] = "1"
        fields[headers.DEADLINE_MS] = str(remaining_ms(request.deadline_at, now))
        fields[headers.UPSTREAM] = upstream
        if request.solo:
            fields[headers.SOLO] = "1"
        if parent_id:
            fields[headers.NESTED] = parent_id
        return await self.send_signed(
            session, request.method, request.target, fields, request.body, timeout_s
        )

    async def send_signed(
        self,
        session: Session,
        method: str,
        target: str,
        fields: MutableMapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> HttpAnswer:
        """Sign and send a request to the internal address of a session."""
        fields[headers.AUTHENTICATION] = self.signer.sign(
            session.host, method, target, signed_text(fields), body
        )
        peer = self.peer(session.internal_address)
        return await peer.send(
            method, target, fields, body, timeout_s, MAX_ANSWER_BYTES
        )
