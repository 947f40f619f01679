from __future__ import annotations

import pytest

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure


@pytest.mark.parametrize(
    ("code", "text"),
    [
        (ResultCode.NOT_OWNER, "[3102] reason"),
        (ResultCode.CONFIGURATION_CONFLICT, "[2001] reason"),
    ],
)
def test_text_starts_with_the_code(code: ResultCode, text: str) -> None:
    """Guards against messages that operators can't look up by number."""
    assert str(Failure(code, "reason")) == text
