"""The configuration of a deployment: documents, changes and revisions."""

from __future__ import annotations
