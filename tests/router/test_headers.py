from __future__ import annotations

import pytest

from sassafraswharf.router.headers import end_to_end


@pytest.mark.parametrize(
    ("name", "is_forwarded"),
    [
        ("Sassafraswharf-Not-Run", False),
        ("sassafraswharf-not-run", False),
        ("SASSAFRASWHARF-EPOCH", False),
        ("connection", False),
        ("Idempotency-Key", True),
        ("X-Sassafraswharf", True),
    ],
)
def test_internal_headers_are_not_forwarded(name: str, *, is_forwarded: bool) -> None:
    """Guards against a not-run or epoch header forged by a caller or an upstream."""
    assert end_to_end([(name, "1")]) == ([(name, "1")] if is_forwarded else [])
