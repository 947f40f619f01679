"""Request handling decisions without I/O, from classification to outcome."""

from __future__ import annotations
