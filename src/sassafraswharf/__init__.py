"""A router for services whose servers own their keys exclusively."""

from __future__ import annotations


__version__ = "0.1.0"
