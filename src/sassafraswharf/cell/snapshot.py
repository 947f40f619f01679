"""Snapshot format of a cell's state."""

# msgspec resolves the annotations of decoded values at runtime.
# ruff: noqa: TC001

from __future__ import annotations

from typing import NamedTuple

import msgspec

from sassafraswharf.audit.trail import AuditEntry
from sassafraswharf.cell.codec import decode_value
from sassafraswharf.cell.commands import ServiceSpec
from sassafraswharf.cell.counters import Counters
from sassafraswharf.cell.list_versions import ListVersions
from sassafraswharf.codes import ResultCode
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure
from sassafraswharf.membership.values import Session
from sassafraswharf.membership.values import Upstream
from sassafraswharf.ownership.values import PackedTable
from sassafraswharf.quarantine.suspect_table import ReportedCrash
from sassafraswharf.quarantine.suspect_table import SoloReservation
from sassafraswharf.quarantine.suspect_table import Suspect


class CellSnapshot(NamedTuple):
    """All of a cell's state as one value."""

    applied_index: int
    version: int
    last_command_at: float
    revision: int
    services: tuple[ServiceSpec, ...]
    sessions: tuple[Session, ...]
    upstreams: tuple[Upstream, ...]
    tables: tuple[PackedTable, ...]
    audit_trail: tuple[AuditEntry, ...]
    suspects: tuple[Suspect, ...]
    reported_crashes: tuple[ReportedCrash, ...]
    counters: Counters
    list_versions: ListVersions
    solo_reservations: tuple[SoloReservation, ...]


def encode_snapshot(snapshot: CellSnapshot) -> bytes:
    """Encode a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> CellSnapshot:
    """Decode a snapshot; corrupt data raises ``StorageError`` with code 5005."""
    decoded = decode_value(data, CellSnapshot)
    if decoded.is_err():
        message = decoded.unwrap_err().message
        raise StorageError(Failure(ResultCode.SNAPSHOT_CORRUPT, message))
    return decoded.unwrap()
