"""Parts of the load tool."""

from __future__ import annotations
