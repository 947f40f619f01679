"""Upstream stand-in, load tool, demo, benchmarks and capacity measurements."""

from __future__ import annotations
