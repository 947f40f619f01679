"""The request path beside an upstream that renews its keys by heartbeat."""

from __future__ import annotations
