from __future__ import annotations

import pytest

from sassafraswharf.codes import ResultCode
from sassafraswharf.leases.grantor import LeaseGrantor
from sassafraswharf.leases.holder import LeaseHolder
from sassafraswharf.leases.messages import LeaseAck
from sassafraswharf.leases.messages import LeaseRefusal
from sassafraswharf.leases.messages import LeaseRenewal
from sassafraswharf.leases.messages import LeaseTiming
from sassafraswharf.placement.load_view import UpstreamSample
from sassafraswharf.placement.load_view import encode_load
from sassafraswharf.transport.authenticator import Authenticator
from sassafraswharf.transport.envelope import Channel
from sassafraswharf.transport.envelope import MessageKind
from sassafraswharf.transport.messages import encode


SESSION = 7


def holder_with_renewal(sent_at: float) -> tuple[LeaseHolder, LeaseRenewal]:
    holder = LeaseHolder("h", LeaseTiming())
    holder.open(SESSION, sent_at)
    renewal = holder.next_renewal(sent_at)
    assert renewal is not None
    return holder, renewal


def ack(sequence: int, session: int = SESSION) -> LeaseAck:
    return LeaseAck(session, sequence, 0.9, 1, 0, 0)


@pytest.mark.parametrize(
    ("answer", "at", "valid"),
    [
        (None, 10.1, False),
        (ack(1), 10.1, True),
        (ack(1), 10.89, True),
        (ack(1), 10.9, False),
        (ack(1), 500.0, False),
        (ack(2), 10.1, False),
        (ack(1, 6), 10.1, False),
        (LeaseRefusal(SESSION, 1, ResultCode.SESSION_CLOSED, None), 10.1, False),
    ],
)
def test_lease_of_a_holder(
    answer: LeaseAck | LeaseRefusal | None, at: float, valid: bool
) -> None:
    """Guards against a lease without an ack, or beyond one term after sending."""
    holder, _ = holder_with_renewal(10.0)
    if isinstance(answer, LeaseAck):
        holder.on_ack(answer, 10.05)
    elif answer is not None:
        holder.on_refusal(answer, 10.05)
    assert holder.is_valid(at) is valid


def test_frozen_holder_serves_nothing() -> None:
    """Guards against a late ack that extends an expired lease after a freeze."""
    holder, renewal = holder_with_renewal(10.0)
    holder.on_ack(ack(renewal.sequence), 10.01)
    second = holder.next_renewal(10.25)
    assert second is not None
    assert not holder.is_valid(60.0)
    holder.on_ack(ack(second.sequence), 60.0)
    assert not holder.is_valid(60.0)


def test_refusal_ends_a_valid_lease() -> None:
    """Guards against work after the cell has closed the session."""
    holder, renewal = holder_with_renewal(10.0)
    holder.on_ack(ack(renewal.sequence), 10.01)
    holder.on_refusal(LeaseRefusal(SESSION, 2, ResultCode.SESSION_CLOSED, None), 10.02)
    assert not holder.is_valid(10.03)
    assert holder.next_renewal(20.0) is None


@pytest.mark.parametrize(("after_s", "is_due"), [(0.04, False), (0.06, True)])
def test_renewal_after_a_refusal_is_early(after_s: float, is_due: bool) -> None:
    """Guards against leases lost in an election, and against a flood of retries."""
    holder, _ = holder_with_renewal(10.0)
    holder.on_refusal(LeaseRefusal(SESSION, 1, ResultCode.NOT_LEADER, "c2"), 10.01)
    assert (holder.next_renewal(10.01 + after_s) is not None) is is_due
    assert holder.leader_hint == "c2"


@pytest.mark.parametrize(("after_s", "expired"), [(0.0, 0), (0.949, 0), (0.951, 2)])
def test_new_leader_waits_a_term_and_the_margin(after_s: float, expired: int) -> None:
    """Guards against a new leader that ends leases of its predecessor early."""
    grantor = LeaseGrantor(LeaseTiming(), 100.0, [SESSION], [3])
    assert len(grantor.end_expired(100.0 + after_s)) == expired


def test_expired_session_is_not_renewed() -> None:
    """Guards against a grant after the closing was proposed."""
    grantor = LeaseGrantor(LeaseTiming(), 100.0, [SESSION])
    assert grantor.end_expired(101.0) == [SESSION]
    answer = grantor.on_renewal(LeaseRenewal("h", "c", SESSION, 1, 0, 0, b""), 101.0)
    assert isinstance(answer, LeaseRefusal)
    assert grantor.end_expired(101.1) == [SESSION]
    grantor.on_session_closed(SESSION)
    assert grantor.end_expired(101.2) == []


def test_old_renewal_does_not_extend() -> None:
    """Guards against replays that keep a dead host's slots from others."""
    grantor = LeaseGrantor(LeaseTiming(), 100.0, [SESSION])
    renewal = LeaseRenewal("h", "c", SESSION, 5, 0, 0, b"")
    assert isinstance(grantor.on_renewal(renewal, 100.1), LeaseAck)
    assert isinstance(grantor.on_renewal(renewal, 100.9), LeaseAck)
    assert grantor.end_expired(101.06) == [SESSION]


def test_superseded_session_runs_out() -> None:
    """Guards against a replaced router that renews its lease for ever."""
    grantor = LeaseGrantor(LeaseTiming(), 100.0, [])
    grantor.on_session_opened(SESSION, 100.0)
    grantor.on_session_superseded(SESSION)
    renewal = LeaseRenewal("h", "c", SESSION, 1, 0, 0, b"")
    assert isinstance(grantor.on_renewal(renewal, 100.1), LeaseRefusal)
    assert grantor.end_expired(100.96) == [SESSION]


def test_a_renewal_is_small() -> None:
    """Guards against control traffic beyond the limit of each host."""
    sample = UpstreamSample("upstream-2400", 5_833.0, 6_000.0, ())
    load = encode_load([sample])
    renewal = LeaseRenewal(
        "host-2400.eu-west-dub-a", "eu-west-dub-12", 2**31, 2**31, 2**20, 2**31, load
    )
    sealed = Authenticator(renewal.host, b"k" * 32, 2**60).seal(
        Channel.LEASE,
        MessageKind.LEASE_RENEWAL,
        "host-1.eu-west-dub-b",
        encode(renewal),
    )
    assert len(sealed.unwrap()) < 200
