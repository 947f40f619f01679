"""Adapter to the machines of the provider: names, formats and calls."""

from __future__ import annotations
