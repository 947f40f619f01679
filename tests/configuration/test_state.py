from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.configuration.commands import check_change
from sassafraswharf.configuration.commands import decode_reply
from sassafraswharf.configuration.commands import encode_command
from sassafraswharf.configuration.history import MAX_REVISIONS
from sassafraswharf.configuration.history import RevisionHistory
from sassafraswharf.configuration.history import RevisionRecord
from sassafraswharf.configuration.reply_cache import ReplyCache
from sassafraswharf.configuration.revision_holder import RevisionHolder
from sassafraswharf.configuration.state import ConfigurationState
from sassafraswharf.exceptions import StorageError
from tests.configuration.harness import AnyRevisionHolder
from tests.configuration.harness import NoBaseCheck
from tests.configuration.harness import NoBaseCheckNoReplyCache
from tests.configuration.harness import NoReplyCache
from tests.configuration.harness import change
from tests.configuration.harness import document
from tests.configuration.harness import send


if TYPE_CHECKING:
    from collections.abc import Callable


def race(state: ConfigurationState) -> None:
    assert send(state, change("a", 0, 1)).code == 0
    reply = send(state, change("b", 0, 2, "nour"))
    assert (reply.code, reply.winner_id, reply.winner_author) == (2001, "a", "aoife")
    assert state.document == document(1)


def resend(state: ConfigurationState) -> None:
    first = send(state, change("a", 0))
    send(state, change("b", 1))
    entries = len(state.audit.entries)
    assert send(state, change("a", 0)) == first
    assert (state.revision, len(state.audit.entries)) == (2, entries)


def reuse(state: ConfigurationState) -> None:
    send(state, change("a", 0))
    assert send(state, change("a", 1, 2)).code == 2002
    assert send(state, change("a", 0, 1, "nour")).code == 2002
    assert state.revision == 1


def very_late_resend(state: ConfigurationState) -> None:
    state.accepted_replies = ReplyCache(limit=2)
    for base in range(10):
        send(state, change(f"c{base}", base))
    reply = send(state, change("c0", 0))
    assert (reply.code, reply.winner_id, state.revision) == (2001, "", 10)


@pytest.mark.parametrize(
    ("check", "state_type", "holds"),
    [
        (race, ConfigurationState, True),
        (race, NoBaseCheck, False),
        (resend, ConfigurationState, True),
        (resend, NoReplyCache, False),
        (reuse, ConfigurationState, True),
        (reuse, NoReplyCache, False),
        (very_late_resend, ConfigurationState, True),
        (very_late_resend, NoBaseCheck, False),
        (very_late_resend, NoBaseCheckNoReplyCache, False),
    ],
)
def test_promises_with_a_mechanism_on_and_off(
    check: Callable[[ConfigurationState], None],
    state_type: type[ConfigurationState],
    holds: bool,
) -> None:
    """Guards against two changes accepted with one base and against changed replies.

    Each check must fail when the safeguard that it covers is disabled.
    """
    if holds:
        check(state_type())
        return
    with pytest.raises(AssertionError):
        check(state_type())


@pytest.mark.parametrize(
    ("holder_type", "revisions"),
    [(RevisionHolder, [700, 700]), (AnyRevisionHolder, [1, 699])],
)
def test_a_router_that_missed_changes_never_goes_back(
    holder_type: type[RevisionHolder], revisions: list[int]
) -> None:
    """Guards against a router that applies an old revision from a late message."""
    holder = holder_type()
    holder.accept(700, document(7)).unwrap()
    seen = []
    for late in (1, 699):
        holder.accept(late, document(1)).unwrap()
        seen.append(holder.revision)
    assert seen == revisions


def test_a_router_keeps_its_revision_on_damaged_content() -> None:
    """Guards against an invalid document that replaces a valid configuration."""
    holder = RevisionHolder()
    holder.accept(1, document()).unwrap()
    assert holder.accept(2, b"{}").unwrap_err().code == 2003
    assert holder.revision == 1


def test_a_replica_restarts_after_hundreds_of_changes() -> None:
    """Guards against a restart that loses history, cached replies or audit trail."""
    state = ConfigurationState()
    replies = [send(state, change(f"c{n}", n, n % 7), n) for n in range(500)]
    restored = ConfigurationState()
    restored.restore(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    assert send(restored, change("c3", 3, 3)) == replies[3]
    assert send(restored, change("new", 500)).revision == 501
    assert len(restored.history.records) == MAX_REVISIONS
    assert restored.history.find(500) == state.history.find(500)
    assert restored.history.find(1) is None


def test_a_future_base_and_a_changed_slot_count_are_refused() -> None:
    """Guards against gaps in revisions and against a key that maps to two slots."""
    state = ConfigurationState()
    assert send(state, change("a", 5)).code == 2001
    assert send(state, change("b", 0)).code == 0
    other = change("c", 1)._replace(document=document(slot_count=128))
    reply = send(state, other)
    assert (reply.code, state.revision) == (2003, 1)
    assert "slot_count" in reply.message


def test_the_audit_says_who_when_what_and_result() -> None:
    """Guards against changes that are missing from the audit trail."""
    state = ConfigurationState()
    send(state, change("a", 0), 7)
    send(state, change("b", 0, 2, "nour"), 8)
    send(state, change("c", 1, 2), 9)
    seen = [(e.log_index, e.actor, e.revision, e.code) for e in state.audit.newest(10)]
    assert seen == [(7, "aoife", 1, 0), (8, "nour", 1, 2001), (9, "aoife", 2, 0)]
    assert state.audit.newest(1)[0].detail == "changed weights"


def test_the_history_is_bounded_by_bytes() -> None:
    """Guards against a control host that runs out of memory on large documents."""
    history = RevisionHistory()
    for revision in range(1, 30):
        history.add(RevisionRecord(revision, "a", "b", 0.0, bytes(500_000)))
    assert history.size_bytes <= 4_194_304
    assert history.newest == history.find(29)


@pytest.mark.parametrize(
    "fields",
    [
        {"change_id": ""},
        {"author": "x" * 129},
        {"base_revision": -1},
        {"author": "\ud800"},
    ],
)
def test_a_change_out_of_range_is_refused(fields: dict[str, object]) -> None:
    """Guards against commands that replicas would fail to decode."""
    bad = change("a", 0)._replace(**fields)  # type: ignore[arg-type]
    assert check_change(bad).unwrap_err().code == 3001
    assert check_change(change("a", 0)).unwrap() == change("a", 0)


@given(st.binary(max_size=64) | st.tuples(st.integers(0, 200), st.binary(max_size=3)))
def test_damaged_bytes_never_raise_and_change_nothing(
    damage: bytes | tuple[int, bytes],
) -> None:
    """Guards against a replica that stops on an entry it can't read."""
    data = damage
    if isinstance(damage, tuple):
        whole = encode_command(change("a", 1))
        data = whole[: damage[0]] + damage[1] + whole[damage[0] + len(damage[1]) :]
    state = ConfigurationState()
    before = state.snapshot()
    decode_reply(data)
    reply = decode_reply(state.apply(1, data)).unwrap()
    if reply.code == 6001:
        assert state.snapshot() == before
    assert state.revision == 0


@pytest.mark.parametrize("cut", [0, 1, 50, -1])
def test_a_damaged_snapshot_is_refused_and_changes_nothing(cut: int) -> None:
    """Guards against a replica that continues with a partially restored state."""
    state = ConfigurationState()
    send(state, change("a", 0))
    whole = state.snapshot()
    with pytest.raises(StorageError, match="5005"):
        state.restore(whole[:cut])
    assert state.snapshot() == whole
