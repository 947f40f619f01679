"""Routes: which service serves a request, and with which limits."""

from __future__ import annotations
