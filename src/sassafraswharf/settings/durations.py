"""Durations written as a number with a unit, such as ``870ms``."""

from __future__ import annotations

import math
import re

from typing import Final

from result import Err
from result import Ok
from result import Result


_DURATION_PATTERN: Final = re.compile(r"^(?P<number>\d+(\.\d+)?)(?P<unit>ms|s)\Z")
_SECONDS_PER_UNIT: Final = {"ms": 0.001, "s": 1.0}


def parse_duration(text: object) -> Result[float, str]:
    """Parse a duration with the unit ``ms`` or ``s`` into seconds.

    >>> parse_duration("870ms").unwrap()
    0.87
    """
    match = _DURATION_PATTERN.match(text) if isinstance(text, str) else None
    if match is None:
        return Err(f"{text!r} is not a duration such as 870ms or 2.5s")
    seconds = float(match["number"]) * _SECONDS_PER_UNIT[match["unit"]]
    if not math.isfinite(seconds):
        return Err(f"{text!r} is too long")
    return Ok(seconds)


def format_duration(seconds: float) -> str:
    """Format a duration in whole milliseconds, rounded down.

    >>> format_duration(1.5)
    '1500ms'
    """
    return f"{int(seconds * 1000)}ms"
