"""Tests of sassafraswharf; the layout mirrors ``src/``."""

from __future__ import annotations
