"""A caller for availability probes of the soak itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf_bench.provider.operator import Caller
from sassafraswharf_bench.provider.operator import Reply


if TYPE_CHECKING:
    from sassafraswharf_bench.provider.machines import Machine
    from sassafraswharf_bench.soak.ledger import Ledger


class ProbeCaller(Caller):
    """Records the ids of its requests as probes in the ledger."""

    def __init__(self, machine: Machine, ledger: Ledger) -> None:
        """Call on the given machine."""
        super().__init__(machine)
        self.ledger = ledger

    async def send(
        self,
        method: str,
        target: str,
        host: str,
        *,
        key: int | None = None,
        body: bytes = b"",
        deadline_ms: int = 2_000,
    ) -> Reply:
        """Send one request on a new connection."""
        reply = await super().send(
            method, target, host, key=key, body=body, deadline_ms=deadline_ms
        )
        self.ledger.probe_ids.add(reply.request_id)
        return reply
