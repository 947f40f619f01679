"""The choice of owners for slots."""

from __future__ import annotations
