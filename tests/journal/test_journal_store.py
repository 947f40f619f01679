from __future__ import annotations

from itertools import permutations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.codes import ResultCode
from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.journal.intent import Intent
from sassafraswharf.journal.intent import JournalKey
from sassafraswharf.journal.intent import Record
from sassafraswharf.journal.intent import RecordState
from sassafraswharf.journal.intent import record_of
from sassafraswharf.journal.journal_store import MAX_ANSWER_BYTES
from sassafraswharf.journal.journal_store import MAX_STORE_BYTES
from sassafraswharf.journal.journal_store import JournalStore
from sassafraswharf.journal.messages import AgedRecord
from sassafraswharf.journal.messages import JournalBatch
from sassafraswharf.journal.messages import JournalReply
from sassafraswharf.journal.messages import Seal
from sassafraswharf.journal.messages import SealReply
from sassafraswharf.journal.messages import decode_batch
from sassafraswharf.journal.messages import decode_reply
from sassafraswharf.journal.messages import encode


SERVICE = ServiceName("booking")
OWNER, MEMBER = SessionId(1), SessionId(2)
KEY = JournalKey(SERVICE, 3, "k")
INTENT, NOT_RUN, CLOSED, RAN, ANSWER = RecordState


def record(
    state: RecordState, epoch: int = 5, attempt: int = 1, key: str = "k"
) -> Record:
    intent = Intent(SERVICE, 3, key, b"d" * 16, epoch, OWNER, attempt)
    return record_of(intent)._replace(state=state, answer=b"")


FIRST = record(INTENT)
OTHER_BODY = FIRST._replace(body_digest=b"x")
OLD_ANSWER = record(ANSWER, epoch=4)


def batch(*records: Record, generation: int = 1, complete: bool = True) -> JournalBatch:
    aged = tuple(AgedRecord(found, 0.0) for found in records)
    return JournalBatch(OWNER, MEMBER, generation, complete, aged, ())


def seal(epoch: int, generation: int = 1, start: int = 0) -> Seal:
    return Seal(SERVICE, ((start, 10),), epoch, OWNER, generation, MEMBER)


HUGE_SEAL = seal(6)._replace(runs=((0, 10**12),))


def store() -> JournalStore:
    found = JournalStore()
    found.sessions.add(MEMBER)
    return found


@pytest.mark.parametrize(
    "weak_to_strong",
    [
        [record(INTENT), record(NOT_RUN), record(INTENT, attempt=2)],
        [record(INTENT), record(ANSWER)],
        [record(INTENT, attempt=3), record(INTENT, epoch=6), record(ANSWER)],
        [record(CLOSED), record(NOT_RUN, attempt=2), record(INTENT, epoch=6)],
        [record(NOT_RUN), record(RAN), record(ANSWER)],
    ],
)
def test_conflicting_records_merge_the_same_in_any_order(
    weak_to_strong: list[Record],
) -> None:
    """Guards against an outcome that an older or repeated intent replaces."""
    for order in permutations(weak_to_strong):
        member = store()
        for found in order:
            member.handle(batch(found), 0.0)
        assert member.get(KEY, 0.0) == weak_to_strong[-1]


@pytest.mark.parametrize(
    ("messages", "code"),
    [
        ([batch(FIRST)], ResultCode.OK),
        ([batch(FIRST, complete=False)], ResultCode.STALE_TABLE_VERSION),
        ([batch(generation=2), batch(FIRST)], ResultCode.STALE_TABLE_VERSION),
        ([batch(), batch(FIRST, complete=False)], ResultCode.OK),
        ([batch(FIRST), batch(OTHER_BODY)], ResultCode.IDEMPOTENCY_KEY_MISMATCH),
        ([batch(OLD_ANSWER), batch(FIRST)], ResultCode.OUTCOME_UNKNOWN),
        ([batch(FIRST)._replace(member=SessionId(9))], ResultCode.SESSION_CLOSED),
    ],
)
def test_codes_of_a_member(messages: list[JournalBatch], code: ResultCode) -> None:
    """Guards against an acknowledgement by a member that must not count."""
    member = store()
    replies = [member.handle(message, 0.0) for message in messages]
    assert replies[-1].codes == (code,)


@pytest.mark.parametrize(
    ("first", "second", "codes", "counts"),
    [
        (seal(6), seal(7), (0, 0), True),
        (seal(7), seal(6), (0, ResultCode.STALE_EPOCH), False),
        (seal(6), seal(6, generation=2), (0, 0), False),
        (seal(6), seal(6)._replace(member=SessionId(9)), (0, 0), False),
        (seal(6), HUGE_SEAL, (0, ResultCode.MESSAGE_MALFORMED), False),
    ],
)
def test_seal(first: Seal, second: Seal, codes: tuple[int, int], counts: bool) -> None:
    """Guards against an older takeover, or a member that lacks records."""
    member = store()
    member.handle(batch(record(INTENT)), 0.0)
    replies = [member.seal(order, 0.0) for order in (first, second)]
    assert tuple(reply.code for reply in replies) == codes
    assert replies[1].complete is counts
    late = record(ANSWER)
    assert member.record_outcome(late, 0.0).unwrap_err().code is ResultCode.STALE_EPOCH


def test_retention_and_age() -> None:
    """Guards against a record dropped before 600 s, or kept for ever."""
    member = store()
    member.import_records([AgedRecord(record(INTENT), 300.0)], 1000.0)
    assert member.get(KEY, 1301.0) is not None
    assert member.get(KEY, 1332.0) is None
    member.drop_expired(1332.0)
    assert member.total_bytes == 0
    assert not member.slots


def test_each_record_has_its_own_retention() -> None:
    """Guards against members that drop a record at different times."""
    member = store()
    short = record(INTENT, key="short")._replace(retention_s=60)
    received = decode_batch(encode(batch(short, record(INTENT)))).unwrap()
    member.handle(received, 0.0)
    assert member.get(short.key, 63.0) == short
    assert member.get(short.key, 64.0) is None
    member.drop_expired(64.0)
    assert member.get(KEY, 631.0) is not None
    member.drop_expired(632.0)
    assert member.total_bytes == 0


def test_full_store_refuses_intents_and_keeps_outcomes() -> None:
    """Guards against a dropped record or a lost outcome in a full store."""
    member = store()
    number = 0
    while member.record_intent(
        Intent(SERVICE, 3, str(number), b"", 5, OWNER, 1), 0
    ).is_ok():
        number += 1
    assert member.is_full(0.0)
    big = b"x" * MAX_ANSWER_BYTES
    for index in range(number):
        outcome = record(ANSWER, key=str(index))._replace(body_digest=b"", answer=big)
        assert member.record_outcome(outcome, 0.0).is_ok()
    assert member.total_bytes <= MAX_STORE_BYTES
    states = {found.state for found in member.records_owned_by(OWNER)}
    assert states == {RAN, ANSWER}


MESSAGES = [
    batch(record(INTENT), record(ANSWER))._replace(seals=(seal(6),)),
    JournalReply((0, 3108), (SealReply(0, True, (AgedRecord(record(RAN), 1.0),)),)),
]


@given(st.integers(0, 1), st.integers(0, 400), st.binary(max_size=6))
def test_damaged_messages_never_raise(kind: int, place: int, noise: bytes) -> None:
    """Guards against an exception in the router on a damaged message."""
    data = encode(MESSAGES[kind])
    damaged = data[:place] + noise + data[place + len(noise) :]
    for decode in (decode_batch, decode_reply):
        result = decode(damaged)
        if result.is_err():
            assert result.unwrap_err().code is ResultCode.MESSAGE_MALFORMED
    assert [decode_batch, decode_reply][kind](data).unwrap() == MESSAGES[kind]
