"""The incremental update that a router pulls from the cell."""

# msgspec resolves the annotations of decoded values at runtime.
# ruff: noqa: TC001

from __future__ import annotations

from typing import NamedTuple

from sassafraswharf.membership.values import Session
from sassafraswharf.membership.values import Upstream
from sassafraswharf.ownership.values import TableDelta
from sassafraswharf.quarantine.suspect_table import Conviction


class CellDelta(NamedTuple):
    """The difference to a version of the cell; full when it starts at 0.

    Upstreams, sessions, convictions and suspects are complete lists, or
    ``None`` if the list has not changed after ``from_version``. Closed
    sessions are included while they are named in sources, so that their
    journal sets can be found. ``suspects`` are digests that must run alone.
    """

    from_version: int
    to_version: int
    tables: tuple[TableDelta, ...]
    upstreams: tuple[Upstream, ...] | None
    sessions: tuple[Session, ...] | None
    convictions: tuple[Conviction, ...] | None
    suspects: tuple[bytes, ...] | None
