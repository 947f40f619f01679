"""Leases of host sessions, granted by the leader of a cell."""

from __future__ import annotations
