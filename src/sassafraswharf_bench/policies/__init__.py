"""Modules of the comparison of admission and upstream choice policies."""

from __future__ import annotations
