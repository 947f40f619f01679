"""Bounds on the values of JSON documents that other programs write."""

from __future__ import annotations

import re

from typing import Annotated
from typing import Final

import msgspec


MAX_INT64: Final = 2**63 - 1
MAX_COUNT: Final = 2**31 - 1
MAX_NESTING_DEPTH: Final = 64
"""The decoder fails at a depth that depends on the frames on the stack, about 1,000."""

Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]
"""An integer that can be stored in a log entry or message."""
NonNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
"""A size, time, sequence number or fence."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number of things, such as slots."""

STRINGS: Final = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACKETS: Final = re.compile(rb"[\[{]|[\]}]")
OPENING: Final = frozenset(b"[{")


def is_nested_too_deeply(text: bytes) -> bool:
    """Return whether a JSON text is nested more than ``MAX_NESTING_DEPTH`` deep.

    >>> is_nested_too_deeply(b'{"a": [1, 2]}')
    False
    """
    if text.count(b"[") + text.count(b"{") <= MAX_NESTING_DEPTH:
        return False
    depth = 0
    for bracket in BRACKETS.finditer(STRINGS.sub(b"", text)):
        depth += 1 if bracket[0][0] in OPENING else -1
        if depth > MAX_NESTING_DEPTH:
            return True
    return False
