"""Quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations
