"""Leases of host sessions."""

from __future__ import annotations
