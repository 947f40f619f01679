"""Tests of the promises with real processes on loopback."""

from __future__ import annotations
