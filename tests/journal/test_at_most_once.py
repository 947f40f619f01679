from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from sassafraswharf.codes import ResultCode
from sassafraswharf.journal import replication
from sassafraswharf.journal import takeover
from sassafraswharf.journal.decision import EventKind
from sassafraswharf.journal.decision import JournalEvent
from sassafraswharf.journal.journal_quorum import JournalQuorum
from sassafraswharf.journal.journal_store import JournalStore
from sassafraswharf_bench.journal_fleet import Fleet


if TYPE_CHECKING:
    from collections.abc import Callable

Steps = list[tuple[Any, ...]]
INDEX = st.integers(0, 4)
NAMES = st.sampled_from(["a", "b"])
FAULTS = ["freeze", "resume", "kill", "reopen", "learn", "poll", "hang_up"]
FAULTS += ["replace_peers"]


class AtMostOnce(RuleBasedStateMachine):
    """Kills, freezes and disconnects routers at every step of a request."""

    @initialize(size=st.integers(3, 5))
    def start(self, size: int) -> None:
        self.fleet = Fleet(size)
        self.size = size

    @rule(name=NAMES, index=INDEX, close=st.booleans(), at_owner=st.booleans())
    def call(self, name: str, index: int, close: bool, at_owner: bool) -> None:
        fleet = self.fleet
        sessions = [router.session for router in fleet.routers]
        if at_owner and fleet.owner in sessions:
            index = sessions.index(fleet.owner)
        if fleet.now < 600 or not fleet.runs[name]:
            fleet.call(name, index % self.size, close)

    @rule(number=st.integers(0, 30), drop=st.booleans())
    def one_message(self, number: int, drop: bool) -> None:
        if drop:
            self.fleet.drop(number)
        else:
            self.fleet.deliver(number)

    @rule(
        step=st.sampled_from(FAULTS),
        index=INDEX,
    )
    def fault(self, step: str, index: int) -> None:
        getattr(self.fleet, step)(index % self.size)

    @rule(index=INDEX, flag=st.booleans())
    def dispatch(self, index: int, flag: bool) -> None:
        self.fleet.dispatch(index % self.size, flag)

    @rule(index=INDEX, flag=st.booleans())
    def finish(self, index: int, flag: bool) -> None:
        self.fleet.finish(index % self.size, flag)

    @rule(index=INDEX)
    def reassign(self, index: int) -> None:
        self.fleet.reassign(index % self.size)

    @rule(first=INDEX, second=INDEX, index=INDEX)
    def other_peers(self, index: int, first: int, second: int) -> None:
        chosen = {first % self.size, second % self.size} - {index % self.size}
        if chosen:
            self.fleet.replace_peers(index % self.size, *chosen)

    @rule()
    def settle(self) -> None:
        self.fleet.settle()

    @rule(seconds=st.sampled_from([0.5, 1.5, 700.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.pass_time(seconds)

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.violations() == []


AtMostOnce.TestCase.settings = settings(max_examples=150, stateful_step_count=60)
TestAtMostOnce = AtMostOnce.TestCase


def calls(index: int, *, dispatch: bool = True, finish: bool = False) -> Steps:
    steps: Steps = [("call", "a", index), ("settle",)]
    steps += [("dispatch", index)] if dispatch else []
    return steps + ([("finish", index), ("settle",)] if finish else [])


MOVED_WHILE_FROZEN: Steps = [
    ("replace_peers", 3, 4, 1),
    ("settle",),
    ("call", "a", 0),
    ("freeze", 0),
    ("reassign", 3),
    ("settle",),
    *calls(3, finish=True),
    ("resume", 0),
    ("settle",),
    ("dispatch", 0),
]
INTENT_NOT_ON_PEERS: Steps = [
    ("call", "a", 0),
    ("deliver",),
    *[("drop", 0)] * 2,
    ("dispatch", 0),
    *[("drop", 0)] * 4,
    ("kill", 0),
    ("reassign", 3),
    ("settle",),
    *calls(3),
]
NEW_OWNER_LOST_BEFORE_COPY: Steps = [
    *calls(0),
    ("kill", 0),
    ("replace_peers", 3),
    ("settle",),
    ("reassign", 3),
    ("poll", 3),
    *[("deliver",)] * 5,
    *[("drop", 0)] * 9,
    ("kill", 3),
    ("settle",),
    ("reassign", 4),
    ("settle",),
    *calls(4),
]
PEER_REPLACED_BEFORE_COPY: Steps = [
    ("call", "a", 0),
    ("deliver",),
    ("drop", 0),
    *[("deliver",)] * 2,
    ("dispatch", 0),
    ("replace_peers", 0, 1, 3),
    *[("drop", 0)] * 9,
    ("kill", 0),
    ("reassign", 4),
    ("settle",),
    *calls(4),
]
OTHER_BODY: Steps = [
    *calls(0, finish=True),
    ("call", "a", 0, False, b"other"),
    ("settle",),
]
FROZEN_BEYOND_RETENTION: Steps = [
    *calls(0, dispatch=False),
    ("freeze", 0),
    ("reassign", 3),
    ("settle",),
    ("pass_time", 700.0),
    *calls(3),
    ("resume", 0),
    ("dispatch", 0),
]
OLD_OWNER_NEVER_SEALED: Steps = [
    ("replace_peers", 3, 4, 1),
    ("settle",),
    ("reassign", 3),
    ("pass_time", 700.0),
    ("poll", 3),
    *calls(3, finish=True),
    *calls(0),
]
OUTCOME_DELAYED_BEYOND_RETENTION: Steps = [
    *calls(0, dispatch=False),
    ("dispatch", 0, True),
    ("finish", 0),
    ("pass_time", 700.0),
    *calls(0),
    ("kill", 0),
    ("reassign", 3),
    ("settle",),
    *calls(3),
]
OWN_RECORD_REPLACED: Steps = [
    ("call", "a", 0),
    ("deliver",),
    *[("drop", -1)] * 2,
    ("freeze", 0),
    ("reassign", 3),
    ("settle",),
    *calls(3, finish=True),
    ("resume", 0),
    *[("deliver",)] * 3,
    *[("drop", -1)] * 5,
    ("settle",),
    ("dispatch", 0),
]
ATTEMPT_DELAYED_BEYOND_REFUSAL: Steps = [
    ("call", "a", 0),
    ("call", "a", 0, True),
    *[("deliver", 1)] * 5,
    ("settle",),
    ("dispatch", 0),
]


def without_seal(patch: pytest.MonkeyPatch) -> None:
    sealed = JournalStore.seal

    def seal(store: JournalStore, order: Any, now: float) -> Any:
        reply = sealed(store, order, now)
        store.sealed_epochs.clear()
        return reply

    patch.setattr(JournalStore, "seal", seal)


def without_epoch_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JournalStore, "is_sealed", lambda _store, _record: False)


def without_second_copy(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(replication, "write_quorum", lambda _members: 1)
    patch.setattr(takeover, "read_quorum", lambda _members: 2)


def without_copy_before_ready(patch: pytest.MonkeyPatch) -> None:
    adopt = JournalQuorum.adopt_records
    patch.setattr(
        JournalQuorum, "adopt_records", lambda *a: adopt(*a).map(lambda _keys: ())
    )


def without_completeness(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        JournalStore, "_is_complete", lambda store, s: s.member in store.sessions
    )


def without_digest_check(patch: pytest.MonkeyPatch) -> None:
    lookup = JournalQuorum.lookup
    patch.setattr(
        JournalQuorum, "lookup", lambda q, key, _, now: lookup(q, key, b"d", now)
    )


def without_expiry_check(patch: pytest.MonkeyPatch) -> None:
    dispatch = JournalQuorum.dispatch
    patch.setattr(JournalQuorum, "dispatch", lambda q, key, _: dispatch(q, key, 0.0))


def without_lease_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JournalQuorum, "is_lease_valid", lambda _quorum, _now: True)


def without_unique_attempts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        JournalQuorum, "_next_attempt_number", lambda _quorum, known: known + 1
    )


def without_own_record_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JournalQuorum, "_is_current", lambda *_: True)


def without_closure_record(patch: pytest.MonkeyPatch) -> None:
    def close(quorum: JournalQuorum, key: Any, *_: Any) -> None:
        event = JournalEvent(EventKind.CLOSED, key, ResultCode.OK)
        quorum.events.append(event)

    patch.setattr(JournalQuorum, "close", close)


def play(steps: Steps) -> Fleet:
    fleet = Fleet(5)
    for name, *arguments in steps:
        getattr(fleet, name)(*arguments)
    return fleet


@pytest.mark.parametrize(
    ("steps", "switch_off", "seen"),
    [
        (MOVED_WHILE_FROZEN, without_seal, "a ran 2 times"),
        (MOVED_WHILE_FROZEN, without_epoch_check, "a ran 2 times"),
        (INTENT_NOT_ON_PEERS, without_second_copy, "a ran 2 times"),
        (NEW_OWNER_LOST_BEFORE_COPY, without_copy_before_ready, "a ran 2 times"),
        (PEER_REPLACED_BEFORE_COPY, without_completeness, "a ran 2 times"),
        (OTHER_BODY, without_digest_check, "a: replayed to another request"),
        (FROZEN_BEYOND_RETENTION, without_expiry_check, "a ran 2 times"),
        (OUTCOME_DELAYED_BEYOND_RETENTION, without_unique_attempts, "a ran 2 times"),
        (OWN_RECORD_REPLACED, without_own_record_check, "a ran 2 times"),
        (OLD_OWNER_NEVER_SEALED, without_lease_check, "a ran 2 times"),
        (
            ATTEMPT_DELAYED_BEYOND_REFUSAL,
            without_closure_record,
            "a ran after not run",
        ),
    ],
)
def test_each_mechanism_is_needed(
    steps: Steps, switch_off: Callable[[pytest.MonkeyPatch], None], seen: str
) -> None:
    """Guards against a scenario that passes without the mechanism under test."""
    assert play(steps).violations() == []
    with pytest.MonkeyPatch.context() as patch:
        switch_off(patch)
        assert play(steps).violations() == [seen]


LOST: Steps = [("kill", 0), ("reassign", 3)]
MOVED: Steps = [*LOST, ("settle",)]
RESENT_BEFORE_SEAL: Steps = [*LOST, ("call", "a", 3), ("deliver",), ("settle",)]
OUTCOME_AFTER_SEAL: Steps = [("reassign", 3), ("settle",), ("finish", 0), ("settle",)]
NOT_RUN_BY_UPSTREAM: Steps = [("dispatch", 0, True), ("finish", 0), ("settle",)]
ALL_MEMBERS_LOST: Steps = [*[("kill", i) for i in range(3)], ("reassign", 3)]
SECOND_LATER: Steps = [("settle",), *calls(3), ("pass_time", 1.5), ("settle",)]


@pytest.mark.parametrize(
    ("steps", "words", "runs"),
    [
        (calls(0, finish=True) + calls(0), ["answer", "answer"], 1),
        ([*calls(0), ("finish", 0, True), *calls(0)], ["UNKNOWN"], 1),
        (calls(0) + MOVED + calls(3), ["UNKNOWN"], 1),
        (
            calls(0, finish=True) + RESENT_BEFORE_SEAL + calls(3),
            ["answer", "WAIT", "answer"],
            1,
        ),
        (calls(0) + OUTCOME_AFTER_SEAL + calls(3), ["answer", "UNKNOWN"], 1),
        (
            calls(0, dispatch=False) + NOT_RUN_BY_UPSTREAM + calls(0, finish=True),
            ["answer"],
            1,
        ),
        (
            calls(0) + ALL_MEMBERS_LOST + SECOND_LATER + calls(3),
            ["WAIT", "UNKNOWN"],
            1,
        ),
        ([*calls(0, dispatch=False), ("pass_time", 3.0), ("dispatch", 0)], [], 0),
    ],
)
def test_words_to_the_caller(steps: Steps, words: list[str], runs: int) -> None:
    """Guards against an unknown outcome for a caller where the outcome is known."""
    fleet = play(steps)
    assert [word for _, word in fleet.caller_replies] == words
    assert fleet.runs["a"] == runs
    assert fleet.violations() == []
