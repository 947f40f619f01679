"""Measurements of the costs from which the capacity is worked out."""

from __future__ import annotations
