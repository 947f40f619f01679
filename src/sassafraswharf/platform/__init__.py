"""Adapter to the provider's platform: its names, document formats and calls."""

from __future__ import annotations
