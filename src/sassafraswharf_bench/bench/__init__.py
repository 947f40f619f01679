"""Benchmarks of the daemon, each compared with a limit or a baseline."""

from __future__ import annotations
