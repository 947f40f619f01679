"""Slots of services and the upstreams that own them."""

from __future__ import annotations
