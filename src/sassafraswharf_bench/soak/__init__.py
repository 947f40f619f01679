"""Fault-injection soak test: real processes, injected faults, recorded traffic."""

from __future__ import annotations
