"""Modules of the load tool: arrivals, callers and accounting of answers."""

from __future__ import annotations
