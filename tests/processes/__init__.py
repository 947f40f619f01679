"""Integration tests that run routers, control hosts and upstreams as processes."""

from __future__ import annotations
