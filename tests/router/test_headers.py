from __future__ import annotations

import pytest

from sassafraswharf.router.headers import end_to_end


@pytest.mark.parametrize(
    ("name", "passed_on"),
    [
        ("Sassafraswharf-Not-Run", False),
        ("sassafraswharf-not-run", False),
        ("SASSAFRASWHARF-EPOCH", False),
        ("connection", False),
        ("Idempotency-Key", True),
        ("X-Sassafraswharf", True),
    ],
)
def test_headers_of_the_system_come_from_the_system_only(
    name: str, *, passed_on: bool
) -> None:
    """Guards against a "not run" or an epoch that a caller or upstream made up."""
    assert end_to_end([(name, "1")]) == ([(name, "1")] if passed_on else [])
