"""Pure decisions about a request, from its classification to its outcome."""

from __future__ import annotations
