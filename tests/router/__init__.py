"""Tests of the router."""

from __future__ import annotations
