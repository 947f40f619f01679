"""Intents and outcomes of requests that run at most once."""

from __future__ import annotations
