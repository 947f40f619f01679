"""Parts of the comparison of policies."""

from __future__ import annotations
