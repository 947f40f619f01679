"""The replicated state of a cell and the decisions of its leader."""

from __future__ import annotations
