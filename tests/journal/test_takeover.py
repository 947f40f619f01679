from __future__ import annotations

from sassafraswharf.identifiers import ServiceName
from sassafraswharf.identifiers import SessionId
from sassafraswharf.journal.journal_quorum import JournalQuorum
from sassafraswharf.journal.journal_store import JournalStore
from sassafraswharf.journal.takeover import JournalSet
from sassafraswharf.journal.takeover import Takeover
from sassafraswharf.journal.takeover import TakeoverPhase


SERVICE = ServiceName("booking")
OWNER, FIRST, SECOND, LOST = (SessionId(number) for number in (9, 2, 3, 1))
SOURCE = JournalSet(LOST, 1, (LOST, FIRST, SECOND))


def test_a_reply_seals_only_the_slots_it_was_asked_for() -> None:
    """Guards against a takeover that counts the seals of another one.

    Two takeovers of one owner often name the same lost source and members, for
    different slots. A slot that no member has sealed could still get an intent
    of its old owner.
    """
    quorum = JournalQuorum(OWNER, JournalStore())
    one, other = (
        Takeover(SERVICE, [(slot, 1)], 7, [SOURCE], quorum, 0.0) for slot in (4, 5)
    )
    for batch in one.batches():
        member = JournalStore()
        member.sessions.add(batch.member)
        reply = member.handle(batch, 0.0)
        one.on_reply(batch, reply, 0.0)
        other.on_reply(batch, reply, 0.0)
    assert one.phase is TakeoverPhase.COPYING
    assert other.phase is TakeoverPhase.SEALING
    assert not other.sealed_members[LOST]
