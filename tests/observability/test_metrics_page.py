from __future__ import annotations

import re

from pathlib import Path


ROOT = Path(__file__).parent.parent.parent


def test_the_page_lists_the_metrics_of_the_code() -> None:
    """Guards against metrics that operators don't find on the page."""
    source = "\n".join(
        path.read_text() for path in (ROOT / "src/sassafraswharf").rglob("*.py")
    )
    page = (ROOT / "docs/metrics.md").read_text()
    declared = set(re.findall(r'"(sassafraswharf_[a-z_]+)"', source))
    listed = set(re.findall(r"^\| `(sassafraswharf_[a-z_]+)`", page, re.MULTILINE))
    assert declared == listed
