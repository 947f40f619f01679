"""Measurements of unit costs, the input of the capacity calculation."""

from __future__ import annotations
