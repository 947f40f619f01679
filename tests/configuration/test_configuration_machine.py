"""Model test of concurrent changes, resends, restarts and late messages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import pytest

from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from sassafraswharf.configuration.reply_cache import ReplyCache
from sassafraswharf.configuration.revision_holder import RevisionHolder
from sassafraswharf.configuration.state import ConfigurationState
from tests.configuration.harness import AnyRevisionHolder
from tests.configuration.harness import NoBaseCheck
from tests.configuration.harness import NoReplyCache
from tests.configuration.harness import change
from tests.configuration.harness import send


if TYPE_CHECKING:
    from sassafraswharf.configuration.commands import ApplyChange
    from sassafraswharf.configuration.commands import ChangeReply


PICK = st.integers(0, 10_000)


class Machine(RuleBasedStateMachine):
    """One replica that restarts, one that does not, and one router."""

    state_type: ClassVar[type[ConfigurationState]] = ConfigurationState
    holder_type: ClassVar[type[RevisionHolder]] = RevisionHolder
    reply_cache_limit: ClassVar[int] = 4_096

    def __init__(self) -> None:
        super().__init__()
        self.state = self.new_state()
        self.replica = self.new_state()
        self.holder = self.holder_type()
        self.first: list[tuple[ApplyChange, ChangeReply]] = []
        self.documents: dict[int, bytes] = {0: b""}
        self.won: set[str] = set()
        self.index = 0

    def new_state(self) -> ConfigurationState:
        state = self.state_type()
        state.accepted_replies = ReplyCache(self.reply_cache_limit)
        state.refused_replies = ReplyCache(self.reply_cache_limit)
        return state

    def commit(self, command: ApplyChange) -> ChangeReply:
        self.index += 1
        before = self.state.revision
        reply = send(self.state, command, self.index)
        assert send(self.replica, command, self.index) == reply
        assert self.state.revision >= before
        if self.state.revision > before:
            assert before == command.base_revision, "two changes won the same base"
            self.documents[self.state.revision] = command.document
            self.won.add(command.change_id)
        return reply

    @rule(
        back=st.integers(-1, 3), churn=st.integers(0, 3), author=st.sampled_from("an")
    )
    def submit(self, back: int, churn: int, author: str) -> None:
        base = max(self.state.revision - back, 0)
        wins = base == self.state.revision
        command = change(f"c{len(self.first)}", base, churn, author)
        reply = self.commit(command)
        assert reply.code == (0 if wins else 2001)
        if not wins and base < self.state.revision:
            self.check_winner(base, reply)
        self.first.append((command, reply))

    def check_winner(self, base: int, reply: ChangeReply) -> None:
        record = self.state.history.find(base + 1)
        if self.state.accepted_replies.find_by_base(base):
            assert (reply.winner_id, reply.winner_author) == record[1:3]

    @precondition(lambda self: self.first)
    @rule(pick=PICK, delay_s=st.integers(0, 900))
    def resend(self, pick: int, delay_s: int) -> None:
        position = pick % len(self.first)
        command, first = self.first[position]
        before = self.state.revision
        known = self.is_reply_cached(command.change_id)
        has_won = command.change_id in self.won
        late = command._replace(submitted_at=command.submitted_at + delay_s)
        reply = self.commit(late)
        if known:
            assert reply == first, "a resend got another answer"
        if has_won:
            assert self.state.revision == before, "a change was applied twice"
        # An evicted id is decided again, and the new reply is then cached.
        self.first[position] = (command, reply)

    @precondition(lambda self: self.first)
    @rule(pick=PICK)
    def reuse_id(self, pick: int) -> None:
        command, _ = self.first[pick % len(self.first)]
        if self.is_reply_cached(command.change_id):
            other = change(command.change_id, self.state.revision, churn=9)
            before = self.state.document
            assert self.commit(other).code == 2002
            assert self.state.document == before

    def is_reply_cached(self, change_id: str) -> bool:
        return self.reply_cache_limit >= len(self.first) or bool(
            self.state.find_cached_reply(change_id)
        )

    @rule()
    def restart(self) -> None:
        snapshot = self.state.snapshot()
        assert snapshot == self.replica.snapshot()
        self.state = self.new_state()
        self.state.restore(snapshot)
        limit = self.reply_cache_limit
        self.state.accepted_replies.limit = self.state.refused_replies.limit = limit
        assert self.state.document == self.documents[self.state.revision]

    @precondition(lambda self: self.state.revision)
    @rule(pick=PICK)
    def deliver(self, pick: int) -> None:
        """Deliver a message with any accepted revision, old or new."""
        revision = 1 + pick % self.state.revision
        before = self.holder.revision
        self.holder.accept(revision, self.documents[revision]).unwrap()
        assert self.holder.revision == max(before, revision), "a router went back"


class SmallReplyCache(Machine):
    """Caches only two replies, so that most resends come after eviction."""

    reply_cache_limit = 2


def run(machine: type[Machine], *, shrink: bool = True) -> None:
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=100,
            stateful_step_count=50,
            phases=phases,
            report_multiple_bugs=False,
        ),
    )


@pytest.mark.parametrize("machine", [Machine, SmallReplyCache])
def test_the_invariants_hold(machine: type[Machine]) -> None:
    """Guards against two winners, changed replies and decreasing revisions."""
    run(machine)


@pytest.mark.parametrize(
    ("state_type", "holder_type", "seen"),
    [
        (NoBaseCheck, RevisionHolder, "same base"),
        (NoReplyCache, RevisionHolder, "another answer|== 2002"),
        (ConfigurationState, AnyRevisionHolder, "a router went back"),
    ],
)
def test_a_mechanism_that_is_off_is_noticed(
    state_type: type[ConfigurationState],
    holder_type: type[RevisionHolder],
    seen: str,
) -> None:
    """Guards against invariants that can't fail: each disabled safeguard is noticed."""
    fields = {"state_type": state_type, "holder_type": holder_type}
    machine = type("Broken", (Machine,), fields)
    with pytest.raises(AssertionError, match=seen):
        run(machine, shrink=False)
