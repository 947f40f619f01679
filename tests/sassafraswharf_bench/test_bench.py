from __future__ import annotations

from pathlib import Path

import pytest

from sassafraswharf_bench.bench import offered_load
from sassafraswharf_bench.bench import throughput
from sassafraswharf_bench.bench.measure import Bound
from sassafraswharf_bench.bench.measure import Measurement
from sassafraswharf_bench.bench.measure import Verdict
from sassafraswharf_bench.bench.report import BEGIN_MARKER
from sassafraswharf_bench.bench.report import END_MARKER
from sassafraswharf_bench.bench.report import render_table
from sassafraswharf_bench.bench.report import replace_section


PAGE = Path(__file__).parent.parent.parent / "docs" / "bench.md"
AT_MOST, AT_LEAST = Bound(2.0, "target"), Bound(0.7, "baseline", at_least=True)


@pytest.mark.parametrize(
    ("value", "bound", "verdict"),
    [
        (2.0, AT_MOST, Verdict.REACHED),
        (2.01, AT_MOST, Verdict.NOT_REACHED),
        (0.7, AT_LEAST, Verdict.REACHED),
        (0.69, AT_LEAST, Verdict.NOT_REACHED),
        (9.0, None, Verdict.REPORTED),
    ],
)
def test_verdict(value: float, bound: Bound | None, verdict: Verdict) -> None:
    """Guards against a missed bound that is shown as reached."""
    row = Measurement("m", value, "s", bound).as_row()
    assert row["verdict"] == verdict.value
    assert f"| {verdict.value}" in render_table([row])


def test_the_page_has_a_place_for_the_table() -> None:
    """Guards against ``--write`` that damages the page."""
    page = replace_section(PAGE.read_text(), "new")
    assert f"{BEGIN_MARKER}\nnew\n{END_MARKER}" in page
    assert replace_section(page, "new") == page
    with pytest.raises(ValueError, match="marks"):
        replace_section("no marks", "new")


def test_a_ratio_is_the_median_over_the_rounds() -> None:
    """Guards against a single outlier round that determines the ratio."""
    ours = [throughput.Sample(per_s, 1.0) for per_s in (80.0, 10.0, 70.0)]
    bare = [throughput.Sample(100.0, 1.0)] * 3
    assert throughput.median_throughput_ratio(ours, bare) == 0.7


def test_both_routes_get_the_same_request() -> None:
    """Guards against a baseline that is measured with different requests."""
    bare = throughput.Route("bare", "127.0.0.1:1", "bare", booking=True)
    ours = throughput.Route("ours", "127.0.0.1:2", "owner", booking=True)
    sent = throughput.request_bytes(bare, 3, "id")
    assert sent == throughput.request_bytes(ours, 3, "id")
    assert b"Idempotency-Key: id\r\n" in sent


def test_violations_of_at_most_once_break_a_bound() -> None:
    """Guards against a booking that ran twice but does not fail the run."""
    result = {"wrong_answers": 0, "violations": ["key ran 2 times"], "classes": {}}
    verdicts = [row.verdict for row in offered_load.rows(0.5, result)]
    assert verdicts == [Verdict.REACHED, Verdict.NOT_REACHED]
