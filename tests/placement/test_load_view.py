from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from sassafraswharf.codes import ResultCode
from sassafraswharf.membership.values import Upstream
from sassafraswharf.membership.values import UpstreamState
from sassafraswharf.placement.load_view import MAX_REPORT_BYTES
from sassafraswharf.placement.load_view import LoadView
from sassafraswharf.placement.load_view import UpstreamSample
from sassafraswharf.placement.load_view import decode_load
from sassafraswharf.placement.load_view import encode_load


SESSION = 5


def upstream(name: str, speed: float) -> Upstream:
    return Upstream(
        name, "h", SESSION, "diary", "", 4, 4, True, 1, speed, UpstreamState.ADMITTED
    )


def sample(name: str, speed: float, slots: int) -> UpstreamSample:
    loads = [(slot * 13 % 65_536, float(slot)) for slot in range(slots)]
    return UpstreamSample(name, 5_833.0, speed, loads)


@pytest.mark.parametrize(
    ("upstreams", "slots"), [(1, 3), (1, 5_000), (6, 900), (90, 9)]
)
def test_report_fits_a_datagram(upstreams: int, slots: int) -> None:
    """Guards against renewals that exceed 1,200 bytes and drop the hot slots."""
    samples = [sample(f"upstream-{n:04}", 9_000.0, slots) for n in range(upstreams)]
    data = encode_load(samples)
    assert len(data) <= MAX_REPORT_BYTES
    hottest = (slots - 1) * 13 % 65_536
    for report in decode_load(data).unwrap():
        assert not report.top or report.top[0] == hottest
    assert upstreams > 10 or all(r.top for r in decode_load(data).unwrap())


def test_view_scales_announced_speeds() -> None:
    """Guards against mixing relative announced speeds with measured ones."""
    view = LoadView()
    known = [upstream("a", 2.0), upstream("b", 1.0)]
    view.update(SESSION, encode_load([sample("a", 500.0, 3)]), 10.0).unwrap()
    loads = view.upstream_loads(known, {"a"}, 10.0)
    assert [(u.speed, u.load, u.available) for u in loads] == [
        (500.0, 5_833.0, True),
        (250.0, 0.0, False),
    ]
    assert view.slot_loads(known, 10.0) == {0: 0.0, 13: 1.0, 26: 2.0}


def test_old_reports_and_foreign_sessions_are_left_out() -> None:
    """Guards against planning with the load of a host that no longer reports."""
    view = LoadView()
    view.update(SESSION, encode_load([sample("a", 500.0, 3)]), 10.0).unwrap()
    assert view.slot_loads([upstream("a", 1.0)], 16.0) == {}
    moved = upstream("a", 1.0)._replace(session=9)
    assert view.slot_loads([moved], 10.0) == {}


@given(st.binary(max_size=60))
def test_damaged_report_is_refused(data: bytes) -> None:
    """Guards against an exception on the leader's datagram path."""
    result = LoadView().update(SESSION, data, 1.0)
    assert result.is_ok() or result.unwrap_err().code == ResultCode.MESSAGE_MALFORMED
