"""Tests of the decisions about requests."""

from __future__ import annotations
