"""Members of a group and single-member changes."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import ReplicaId  # noqa: TC001 (msgspec needs it)


def host_name(replica: str) -> str:
    """Return the name part of an identity ``<name>:<random>``.

    >>> host_name("control-a:5f3c")
    'control-a'
    """
    return replica.partition(":")[0]


class VoterChangeKind(IntEnum):
    """Kind of a membership change."""

    ADD_LEARNER = 0
    ADD_VOTER = 1
    REMOVE = 2
    VACATE = 3


class VoterChange(NamedTuple):
    """A change of one member.

    ``replica`` is an identity. ``ADD_VOTER`` and ``REMOVE`` also accept the name
    of a host that has one member. ``VACATE`` removes a voter whose disk was lost
    and reserves its place for a replacement with the same host name.
    """

    kind: VoterChangeKind
    replica: ReplicaId


class Voters(NamedTuple):
    """The members of a group; every tuple is sorted.

    ``vacancies`` are the host names of lost voters that await a replacement.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    vacancies: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def resolve(self, change: VoterChange) -> VoterChange:
        """Replace a host name by the identity of its only matching member."""
        if change.replica in self.members:
            return change
        pool = {
            VoterChangeKind.ADD_VOTER: self.learners,
            VoterChangeKind.REMOVE: self.members,
        }.get(change.kind, ())
        found = [one for one in pool if host_name(one) == change.replica]
        return change._replace(replica=found[0]) if len(found) == 1 else change

    def apply(self, change: VoterChange) -> Result[Voters, Failure]:
        """Return the members after the change, or 5006 if it is not allowed."""
        replica = change.replica
        voters = set(self.voters)
        learners = set(self.learners)
        vacancies = set(self.vacancies)
        allowed = {
            VoterChangeKind.ADD_LEARNER: replica not in self.members,
            VoterChangeKind.ADD_VOTER: replica in learners,
            VoterChangeKind.REMOVE: replica in learners or len(voters - {replica}) > 0,
            VoterChangeKind.VACATE: replica in voters and len(voters) > 1,
        }
        known = replica in self.members or change.kind is VoterChangeKind.ADD_LEARNER
        if not known or not allowed[change.kind]:
            message = f"{change.kind.name} of {replica} does not fit {self}"
            return Err(Failure(ResultCode.VOTER_CHANGE_REFUSED, message))
        voters.discard(replica)
        # A host has one data folder, so a new learner of a host replaces the older
        # learner identity of that host.
        learners = {one for one in learners if host_name(one) != host_name(replica)}
        if change.kind is VoterChangeKind.ADD_LEARNER:
            learners.add(replica)
        if change.kind is VoterChangeKind.ADD_VOTER:
            voters.add(replica)
            vacancies.discard(host_name(replica))
        if change.kind is VoterChangeKind.REMOVE:
            vacancies.discard(host_name(replica))
        if change.kind is VoterChangeKind.VACATE:
            vacancies.add(host_name(replica))
            learners = set(self.learners)
        return Ok(
            Voters(
                tuple(sorted(voters)),
                tuple(sorted(learners)),
                tuple(sorted(vacancies)),
            )
        )


DECODER = msgspec.msgpack.Decoder(Voters)


def encode_voters(voters: Voters) -> bytes:
    """Return the data of a ``VOTERS`` entry."""
    return msgspec.msgpack.encode(voters)


def decode_voters(data: bytes) -> Voters:
    """Return the voters of a ``VOTERS`` entry whose checksum was verified."""
    return DECODER.decode(data)
