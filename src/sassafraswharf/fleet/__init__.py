"""Upstreams, key ranges and their owners, as the control hosts see them."""

from __future__ import annotations
