"""Settings of one process: their fields, and the loader that checks them."""

from __future__ import annotations
