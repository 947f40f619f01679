"""Entries of the replicated log and the snapshots that replace them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from sassafraswharf.consensus.voters import Voters


class EntryKind(IntEnum):
    """What the data of an entry is."""

    NOOP = 0
    COMMAND = 1
    VOTERS = 2


class Entry(NamedTuple):
    """One position of the log."""

    log_index: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(NamedTuple):
    """The state machine after ``log_index``, with the voters in force there."""

    log_index: int
    term: int
    voters: Voters
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, Voters(), b"")
