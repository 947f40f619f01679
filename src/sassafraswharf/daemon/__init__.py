"""The daemon: settings to running parts."""

from __future__ import annotations
