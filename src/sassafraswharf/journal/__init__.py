"""Replicated journal of intents and outcomes for at-most-once requests."""

from __future__ import annotations
