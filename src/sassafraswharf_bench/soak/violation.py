"""A promise that a run shows to be broken."""

from __future__ import annotations

from typing import NamedTuple


class Violation(NamedTuple):
    """A broken promise: the name of the rule, the request or machine, what was seen."""

    rule: str
    subject: str
    text: str
