"""Entries of the replicated log and the snapshots that replace them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from sassafraswharf.consensus.voters import Voters


class EntryKind(IntEnum):
    """Type of the data of an entry."""

    NOOP = 0
    COMMAND = 1
    VOTERS = 2


class Entry(NamedTuple):
    """One entry of the log."""

    log_index: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(NamedTuple):
    """State of the state machine and the members as of ``log_index``."""

    log_index: int
    term: int
    voters: Voters
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, Voters(), b"")
