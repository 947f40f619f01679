"""Parts of the upstream stand-in."""

from __future__ import annotations
