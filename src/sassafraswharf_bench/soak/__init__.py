"""A fault soak: real processes, faults from outside, checks of what was seen."""

from __future__ import annotations
