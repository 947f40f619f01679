"""Tests of the quarantine of crashing requests."""

from __future__ import annotations
