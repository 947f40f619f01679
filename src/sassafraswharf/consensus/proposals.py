"""Pending proposals: queued, or appended and waiting to be applied."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from sassafraswharf.consensus.entry import Entry
    from sassafraswharf.consensus.voters import VoterChange


Outcome: TypeAlias = Result[Any, Failure]


class Proposal(NamedTuple):
    """A command or voter change and the future of its outcome."""

    item: bytes | VoterChange
    future: asyncio.Future[Outcome]

    def answer(self, outcome: Outcome) -> None:
        """Set the outcome unless the caller has stopped waiting."""
        if not self.future.done():
            self.future.set_result(outcome)


class Proposals:
    """The pending proposals of one replica."""

    def __init__(self) -> None:
        self.queued: list[Proposal] = []
        self.appended: dict[int, tuple[int, Proposal]] = {}

    def add(self, item: bytes | VoterChange) -> asyncio.Future[Outcome]:
        """Queue a proposal."""
        future = asyncio.get_running_loop().create_future()
        self.queued.append(Proposal(item, future))
        return future

    def take(self) -> list[Proposal]:
        """Remove all queued proposals; return those whose callers still wait."""
        taken, self.queued = self.queued, []
        return [one for one in taken if not one.future.done()]

    def track(self, index: int, term: int, proposal: Proposal) -> None:
        """Record that a proposal was appended at an index."""
        self.appended[index] = (term, proposal)

    def answer_applied(self, entry: Entry, answer: Any) -> None:  # noqa: ANN401
        """Answer the proposal that was appended at the entry's index."""
        term, proposal = self.appended.pop(entry.log_index, (0, None))
        if proposal is None:
            return
        if term == entry.term:
            proposal.answer(Ok(answer))
            return
        message = "another leader replaced the entry; it was not applied"
        proposal.answer(Err(Failure(ResultCode.NOT_LEADER, message)))

    def answer_replaced_by_snapshot(self, index: int) -> None:
        """Fail the proposals whose entries a snapshot up to ``index`` has replaced."""
        message = "a snapshot replaced the entry, the outcome is unknown"
        failure = Failure(ResultCode.PROPOSAL_TIMEOUT, message)
        for at in [one for one in self.appended if one <= index]:
            self.appended.pop(at)[1].answer(Err(failure))

    def fail_all(self, failure: Failure) -> None:
        """Answer all proposals with a failure."""
        waiting = [one for _, one in self.appended.values()] + self.queued
        self.appended.clear()
        self.queued.clear()
        for proposal in waiting:
            proposal.answer(Err(failure))
