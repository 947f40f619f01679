"""Requests to an endpoint that grant key ranges to it and revoke them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sassafraswharf.platform import names
from sassafraswharf.settings.durations import format_duration


if TYPE_CHECKING:
    from sassafraswharf.fleet.sync import HeldRow
    from sassafraswharf.gateway.heartbeat import GrantedRow
    from sassafraswharf.gateway.http_connection import ResponseHead


class HoldCalls:
    """Encodes grant and release requests; both bounds of a key range are inclusive.

    The provider reuses field names of other calls for the bounds: ``fromRev`` is
    the first key and ``targetVersion`` the last one.
    """

    def grant(self, row: GrantedRow, hold_s: float, host: str, name: str) -> bytes:
        """Encode a grant; its hold time starts when the request arrives."""
        body: dict[str, object] = {
            "fromRev": row.first,
            "targetVersion": row.last,
            "fence": row.fence,
            "hold_time": format_duration(hold_s),
        }
        if row.handover:
            body["handover"] = row.handover
        return self.request(names.GRANT_PATH, host, name, body)

    def release(self, row: HeldRow, host: str, name: str) -> bytes:
        """Encode the release of a key range."""
        body: dict[str, object] = {
            "fromRev": row.first,
            "targetVersion": row.last,
            "fence": row.fence,
        }
        return self.request(names.RELEASE_PATH, host, name, body)

    def handover(self, response: ResponseHead) -> str:
        """Return the handover token in the response to a release."""
        return response.headers.get(names.HANDOVER_HEADER, "")

    def request(
        self, path: str, host: str, name: str, body: dict[str, object]
    ) -> bytes:
        """Encode a request that only the endpoint ``name`` accepts."""
        content = msgspec.json.encode(body)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"{names.HEADER_NAMES.instance}: {name}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        return head.encode() + content
