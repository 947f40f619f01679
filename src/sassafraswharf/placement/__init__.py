"""Assignment of slots to upstreams."""

from __future__ import annotations
