"""Benchmarks with bounds."""

from __future__ import annotations
