"""The replicated state machine of the control group: configuration and fleet."""

from __future__ import annotations

import zlib

from collections import OrderedDict
from collections import deque
from enum import IntEnum
from typing import NamedTuple

import msgspec

from result import Err

from sassafraswharf.codes import ResultCode
from sassafraswharf.fleet.fleet_table import FleetTable
from sassafraswharf.fleet.values import FleetChange
from sassafraswharf.routing.plan_document import PlanChange
from sassafraswharf.routing.plan_document import PlanDocument
from sassafraswharf.routing.plan_document import PlanReader


COMPRESSION_LEVEL = 1
MAX_ACCEPTED_DIGESTS = 8_192
"""Accepted changes that are remembered to recognise resends."""
MAX_FLEET_HISTORY = 512
MAX_PLAN_HISTORY = 256
MAX_AUDIT_ENTRIES = 1_024


class CommandKind(IntEnum):
    """The type of a log entry, stored in its first byte."""

    PLAN = 0
    FLEET = 1
    COMPRESSED_PLAN = 2


class PlanCommand(NamedTuple):
    """An operator's change with its sender and the wall-clock time in seconds."""

    change: PlanChange
    actor: str
    at: float


class PlanReply(NamedTuple):
    """The result of a change; ``version`` is the one in force afterwards."""

    code: int
    message: str
    version: int


class VersionedFleet(NamedTuple):
    """A change of the fleet and the log index at which it was applied."""

    version: int
    change: FleetChange


class PlanAudit(NamedTuple):
    """One entry of the audit trail of the configuration."""

    log_index: int
    at: float
    actor: str
    code: int
    version: int
    base_version: int
    message: str


class Snapshot(NamedTuple):
    """The whole state as stored in a snapshot."""

    plan: PlanChange
    digests: list[tuple[bytes, int]]
    fleet_version: int
    fleet: FleetChange
    audit: list[PlanAudit]


class FleetState:
    """Applies the log deterministically, so that all control hosts reach one state.

    ``revocation_version`` is the fleet version of the last change that took keys from
    a router without its consent, or a later one. It isn't part of the replicated state.
    """

    def __init__(self, reader: PlanReader) -> None:
        """Start with an empty configuration and no upstreams."""
        self.reader = reader
        self.plan = PlanDocument(reader)
        self.accepted_digests: OrderedDict[bytes, int] = OrderedDict()
        self.plan_history: deque[PlanChange] = deque(maxlen=MAX_PLAN_HISTORY)
        self.fleet = FleetTable()
        self.fleet_history: deque[VersionedFleet] = deque(maxlen=MAX_FLEET_HISTORY)
        self.revocation_version = 0
        self.audit: deque[PlanAudit] = deque(maxlen=MAX_AUDIT_ENTRIES)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its encoded reply."""
        kind = CommandKind(command[0])
        body = command[1:]
        if kind is CommandKind.COMPRESSED_PLAN:
            body = zlib.decompress(body)
        if kind is CommandKind.FLEET:
            change = _FLEET.decode(body)
            self.fleet.apply(index, change)
            self.fleet_history.append(VersionedFleet(index, change))
            if change.revokes_keys:
                self.revocation_version = index
            return b""
        return msgspec.msgpack.encode(self.decide(index, _PLAN.decode(body)))

    def decide(self, index: int, command: PlanCommand) -> PlanReply:
        """Accept or refuse a change of the configuration."""
        reply = self._decide(command.change)
        self.audit.append(
            PlanAudit(
                index,
                command.at,
                command.actor,
                reply.code,
                command.change.version,
                command.change.base_version,
                reply.message,
            )
        )
        return reply

    def _decide(self, change: PlanChange) -> PlanReply:
        version = self.plan.version
        if change.digest in self.accepted_digests:
            return PlanReply(ResultCode.OK, "accepted before", version)
        if change.base_version != version:
            message = f"version {version} is in force, not {change.base_version}"
            return PlanReply(ResultCode.CONFIGURATION_CONFLICT, message, version)
        if change.version <= version:
            message = f"version {change.version} is not above {version}"
            return PlanReply(ResultCode.CONFIGURATION_INVALID, message, version)
        try:
            changed = self.plan.apply(change)
        except ArithmeticError as error:
            # The entry may come from a build that checked less. An exception here
            # would stop every replica, again after each restart.
            changed = Err(f"a number can't be used: {error}")
        if isinstance(changed, Err):
            return PlanReply(
                ResultCode.CONFIGURATION_INVALID, changed.err_value, version
            )
        self.plan = changed.ok_value
        self.plan_history.append(change)
        self.accepted_digests[change.digest] = change.version
        if len(self.accepted_digests) > MAX_ACCEPTED_DIGESTS:
            self.accepted_digests.popitem(last=False)
        return PlanReply(ResultCode.OK, "accepted", change.version)

    def find_problem(self, change: PlanChange) -> str:
        """Return why a change must not be proposed, or an empty string.

        It is stricter than ``apply``, which decides on changes in the log as earlier
        builds did. A change that was accepted before is never refused.
        """
        if change.digest in self.accepted_digests:
            return ""
        if change.base_version != self.plan.version:
            return ""
        unknown = self.plan.unknown_services(change)
        return f"there is no service {min(unknown)!r}" if unknown else ""

    def plan_since(self, version: int) -> list[PlanChange]:
        """Return the changes after a version, or the whole configuration."""
        if version >= self.plan.version:
            return []
        changes = list(self.plan_history)
        for position, change in enumerate(changes):
            if change.base_version == version:
                return changes[position:]
        return [self.plan.as_change()]

    def fleet_since(self, version: int) -> list[VersionedFleet]:
        """Return the changes after a version, or the whole table as one change."""
        if version >= self.fleet.version:
            return []
        newer = [one for one in self.fleet_history if one.version > version]
        oldest = self.fleet_history[0].version if self.fleet_history else 0
        whole = self.fleet.snapshot()
        # Many changes with many rows each can be larger than the table.
        is_shorter = sum(entry_count(one.change) for one in newer) <= entry_count(whole)
        if version and version >= oldest and is_shorter:
            return newer
        return [VersionedFleet(self.fleet.version, whole)]

    def encoded_plan_since(self, version: int) -> bytes:
        """Return ``plan_since`` encoded for a transfer."""
        return msgspec.msgpack.encode(self.plan_since(version))

    def encoded_fleet_since(self, version: int) -> bytes:
        """Return ``fleet_since`` encoded for a transfer."""
        return msgspec.msgpack.encode(self.fleet_since(version))

    def snapshot(self) -> bytes:
        """Return the encoded whole state."""
        return msgspec.msgpack.encode(
            Snapshot(
                self.plan.as_change(),
                list(self.accepted_digests.items()),
                self.fleet.version,
                self.fleet.snapshot(),
                list(self.audit),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""
        stored = _SNAPSHOT.decode(snapshot)
        self.plan = PlanDocument(self.reader)
        if stored.plan.version:
            self.plan = self.plan.apply(stored.plan).unwrap()
        self.accepted_digests = OrderedDict(stored.digests)
        self.plan_history.clear()
        self.fleet = FleetTable()
        self.fleet.apply(stored.fleet_version, stored.fleet)
        self.fleet_history.clear()
        # A snapshot doesn't tell which change that was.
        self.revocation_version = stored.fleet_version
        self.audit = deque(stored.audit, maxlen=MAX_AUDIT_ENTRIES)


def entry_count(change: FleetChange) -> int:
    """Return the number of upstreams, removals and rows in a change."""
    rows = sum(len(one.rows) for one in change.rows)
    return len(change.upstreams) + len(change.removed) + rows


def encode_plan_command(command: PlanCommand) -> bytes:
    """Return the log entry of an operator's change.

    It is compressed, since the size of a log entry is limited and that of a whole
    configuration is not.
    """
    packed = zlib.compress(msgspec.msgpack.encode(command), COMPRESSION_LEVEL)
    return bytes([CommandKind.COMPRESSED_PLAN]) + packed


def encode_fleet_change(change: FleetChange) -> bytes:
    """Return the log entry of a change of the fleet."""
    return bytes([CommandKind.FLEET]) + msgspec.msgpack.encode(change)


def decode_plan_reply(data: bytes) -> PlanReply:
    """Return the reply to a ``PlanCommand``."""
    return _REPLY.decode(data)


_PLAN = msgspec.msgpack.Decoder(PlanCommand)
_FLEET = msgspec.msgpack.Decoder(FleetChange)
_REPLY = msgspec.msgpack.Decoder(PlanReply)
_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)
