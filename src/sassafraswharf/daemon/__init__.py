"""The daemon: runs the parts that the settings select."""

from __future__ import annotations
