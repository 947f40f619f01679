"""Host sessions and upstreams of a cell."""

from __future__ import annotations
