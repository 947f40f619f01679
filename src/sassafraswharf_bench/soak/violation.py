"""The record of a violated invariant."""

from __future__ import annotations

from typing import NamedTuple


class Violation(NamedTuple):
    """A violated rule, the request or machine concerned, and the evidence."""

    rule: str
    subject: str
    text: str
