"""Slot grants that the upstream has received from the router on its host."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple


RUN_FIELDS = ("start", "length", "upstream", "session", "epoch", "closing", "sources")
GRANT_FIELDS = (
    "service",
    "upstream",
    "session",
    "table_version",
    "runs",
    "valid_for_s",
)


class SlotGrant(NamedTuple):
    """The newest grant of one slot that the upstream has received."""

    epoch: int
    owned: bool
    valid_until: float


def as_mapping(value: Any, fields: tuple[str, ...]) -> dict[str, Any]:  # noqa: ANN401
    """Return a JSON object, or an array in field order, as a mapping.

    The router encodes NamedTuples as arrays; objects are for requests by hand.
    """
    if isinstance(value, dict):
        return value
    if isinstance(value, list) and len(value) == len(fields):
        return dict(zip(fields, value, strict=True))
    raise ValueError(f"expected an object or an array of {len(fields)} fields")


class GrantTable:
    """The slots granted to one upstream, with an epoch per slot."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.slots: dict[int, SlotGrant] = {}

    def accept(self, body: Any, now: float) -> int:  # noqa: ANN401
        """Record a grant and return the number of slots with a newer epoch.

        Raise ValueError for a malformed grant.
        """
        try:
            grant = as_mapping(body, GRANT_FIELDS)
            valid_until = now + float(grant.get("valid_for_s", 0.0))
            runs = [as_mapping(run, RUN_FIELDS) for run in grant["runs"]]
            return sum(self._accept_run(run, valid_until) for run in runs)
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed grant: {error}") from error

    def _accept_run(self, run: dict[str, Any], valid_until: float) -> int:
        start, length, epoch = int(run["start"]), int(run["length"]), int(run["epoch"])
        owned = run.get("upstream", self.upstream) == self.upstream
        stale = 0
        for slot in range(start, start + length):
            known = self.slots.get(slot)
            if known is not None and known.epoch > epoch:
                stale += 1
                continue
            self.slots[slot] = SlotGrant(epoch, owned, valid_until)
        return stale

    def refusal_reason(
        self, slot: int | None, epoch: int | None, now: float, checks_validity: bool
    ) -> str | None:
        """Return why a request with this slot and epoch must not run, or None."""
        if slot is None or epoch is None:
            return "the request carries no slot or no epoch"
        grant = self.slots.get(slot)
        if grant is None or not grant.owned:
            return f"slot {slot} is not granted"
        if epoch != grant.epoch:
            return f"epoch {epoch} is not the granted epoch {grant.epoch}"
        if checks_validity and now >= grant.valid_until:
            return f"the grant of slot {slot} has run out"
        return None
