"""Load reports of routers, and the loads of a cell that result from them."""

# msgspec resolves the annotations of decoded values when the program runs.
# ruff: noqa: TC001

from __future__ import annotations

import statistics

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from result import Err
from result import Ok
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId
from sassafraswharf.placement.values import UpstreamLoad


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sassafraswharf.membership.values import Upstream


MAX_REPORT_BYTES = 960
"""A lease renewal has at most 1,200 bytes, including the envelope and other
fields."""
MAX_REPORTED_SLOTS = 64
RATE_UNIT = 0.1
REPORT_LIFETIME_S = 5.0


class UpstreamReport(NamedTuple):
    """Load and measured speed in tenths of a request per second.

    ``top`` alternates slot and load, the hottest slot first. Speed 0 means
    not measured yet.
    """

    upstream: UpstreamId
    load: int
    speed: int
    top: tuple[int, ...]


class UpstreamSample(NamedTuple):
    """What a router measured of one upstream, in requests per second."""

    upstream: UpstreamId
    load: float
    speed: float
    slot_loads: Sequence[tuple[int, float]]


_Reports = tuple[UpstreamReport, ...]


def encode_load(samples: Iterable[UpstreamSample]) -> bytes:
    """Encode the load of a host's upstreams in at most 960 bytes.

    At most 64 slots per upstream are reported, which bounds the leader's work.
    The coolest slots of all upstreams are left out until the report fits.
    """
    known = list(samples)
    count = MAX_REPORTED_SLOTS
    while True:
        data = msgspec.msgpack.encode([_report(sample, count) for sample in known])
        if len(data) <= MAX_REPORT_BYTES:
            return data
        if count:
            count = count * 3 // 4
        else:
            known = sorted(known, key=lambda sample: -sample.load)[:-1]


def decode_load(data: bytes) -> Result[_Reports, Failure]:
    """Decode a load report; damaged data gives code 6001."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=_Reports))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(Failure(ResultCode.MESSAGE_MALFORMED, f"load report: {error}"))


class LoadView:
    """The latest load report of each session, as input of the planner.

    Reports older than 5 s are ignored, so that the load of an upstream whose
    router no longer reports is not used.
    """

    def __init__(self) -> None:
        self._reports: dict[SessionId, tuple[float, _Reports]] = {}

    def update(
        self, session: SessionId, load: bytes, now: float
    ) -> Result[None, Failure]:
        """Store the report of a session; an empty one is ignored."""
        if not load:
            return Ok(None)
        decoded = decode_load(load)
        if isinstance(decoded, Err):
            return decoded
        self._reports[session] = (now, decoded.ok_value)
        return Ok(None)

    def forget(self, session: SessionId) -> None:
        """Drop the report of a closed session."""
        self._reports.pop(session, None)

    def slot_loads(self, upstreams: Iterable[Upstream], now: float) -> dict[int, float]:
        """Return the reported loads per slot of these upstreams of one service."""
        loads: dict[int, float] = {}
        for report in self._current(upstreams, now).values():
            for slot, load in zip(report.top[::2], report.top[1::2], strict=False):
                loads[slot] = max(loads.get(slot, 0.0), load * RATE_UNIT)
        return loads

    def upstream_loads(
        self, upstreams: Sequence[Upstream], available: set[UpstreamId], now: float
    ) -> list[UpstreamLoad]:
        """Return speed and load of these upstreams of one service.

        The announced speed is only relative to other upstreams. It is scaled by
        the median ratio of measured to announced speed for upstreams that
        have not been measured.
        """
        reports = self._current(upstreams, now)
        ratios = [
            reports[upstream.upstream].speed * RATE_UNIT / upstream.speed
            for upstream in upstreams
            if upstream.upstream in reports
            and reports[upstream.upstream].speed
            and upstream.speed > 0
        ]
        scale = statistics.median(ratios) if ratios else 1.0
        loads = []
        for upstream in upstreams:
            report = reports.get(upstream.upstream)
            measured = report.speed * RATE_UNIT if report else 0.0
            speed = measured or (upstream.speed or 1.0) * scale
            load = report.load * RATE_UNIT if report else 0.0
            is_available = upstream.upstream in available
            loads.append(
                UpstreamLoad(
                    upstream.upstream, speed, load, is_available, report is not None
                )
            )
        return loads

    def _current(
        self, upstreams: Iterable[Upstream], now: float
    ) -> dict[UpstreamId, UpstreamReport]:
        wanted = {upstream.upstream: upstream.session for upstream in upstreams}
        return {
            report.upstream: report
            for session, (at, reports) in self._reports.items()
            if now - at <= REPORT_LIFETIME_S
            for report in reports
            if wanted.get(report.upstream) == session
        }


def _report(sample: UpstreamSample, count: int) -> UpstreamReport:
    hottest = sorted(sample.slot_loads, key=lambda item: -item[1])[:count]
    top = tuple(
        value for slot, load in hottest for value in (slot, round(load / RATE_UNIT))
    )
    return UpstreamReport(
        sample.upstream,
        round(sample.load / RATE_UNIT),
        round(sample.speed / RATE_UNIT),
        top,
    )
