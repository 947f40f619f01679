"""Capacity calculated from measured unit costs (slopes)."""

from __future__ import annotations
