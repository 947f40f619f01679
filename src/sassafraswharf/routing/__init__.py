"""Routes: which service serves a request, and under which terms."""

from __future__ import annotations
