"""Tests of the router part."""

from __future__ import annotations
