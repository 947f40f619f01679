"""The audit trail of changes."""

from __future__ import annotations
