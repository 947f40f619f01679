"""Requests that crash the upstreams which run them."""

from __future__ import annotations
