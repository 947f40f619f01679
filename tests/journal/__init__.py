"""Tests of the journal of at-most-once requests."""

from __future__ import annotations
